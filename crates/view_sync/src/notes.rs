//! Reads of release notes and of the list of hosts.

use std::sync::Arc;

use kameo::message::{Context, Message};
use platform::{HostList, NotePage, PlatformError};
use types::{Moment, Revision};

use super::{Source, ViewSync, tell};

/// One in this number of reads is of the list of hosts, the others are of notes.
const READS_PER_HOST_LIST: u64 = 4;

#[derive(Debug)]
struct NotesRead {
    after: Revision,
    sent_at: Moment,
    page: Result<NotePage, PlatformError>,
}

#[derive(Debug)]
struct HostsRead(Result<HostList, PlatformError>);

impl Message<NotesRead> for ViewSync {
    type Reply = ();

    async fn handle(&mut self, msg: NotesRead, _ctx: &mut Context<Self, ()>) {
        self.reads += 1;
        self.gossip.set_platform_reachable(msg.page.is_ok());
        match msg.page {
            Ok(page) => self.apply_page(msg.after, msg.sent_at, &page),
            Err(error) => {
                self.failed_reads += 1;
                log::debug!(error:% = error; "read_failed");
            }
        }
        self.try_join();
    }
}

impl Message<HostsRead> for ViewSync {
    type Reply = ();

    async fn handle(&mut self, msg: HostsRead, _ctx: &mut Context<Self, ()>) {
        self.reads += 1;
        match msg.0 {
            Ok(hosts) if hosts != **self.board.hosts.borrow() => {
                log::info!(hosts = hosts.len(); "hosts_changed");
                self.board.hosts.send_replace(Arc::new(hosts));
            }
            Ok(_) => {}
            Err(error) => {
                self.failed_reads += 1;
                log::debug!(error:% = error; "read_failed");
            }
        }
    }
}

impl ViewSync {
    /// Starts a read of the notes that follow the current view, or periodically of the list of
    /// hosts.
    pub(super) fn read_history(&self) {
        match self.reads % READS_PER_HOST_LIST {
            turn if turn == READS_PER_HOST_LIST - 1 => self.read_hosts(),
            _ => self.read_notes(),
        }
    }

    pub(super) fn read_notes(&self) {
        let Source::Notes { platform, history } = &self.source else {
            return;
        };
        self.metrics.record_control_message("read");
        let (platform, actor) = (Arc::clone(platform), self.actor.clone());
        let after = history.view().revision;
        let sent_at = self.board.clock.now();
        tokio::spawn(async move {
            let page = platform.notes(after).await;
            tell(
                actor,
                NotesRead {
                    after,
                    sent_at,
                    page,
                },
            )
            .await;
        });
    }

    fn read_hosts(&self) {
        let Source::Notes { platform, .. } = &self.source else {
            return;
        };
        self.metrics.record_control_message("read");
        let (platform, actor) = (Arc::clone(platform), self.actor.clone());
        tokio::spawn(async move {
            let hosts = platform.hosts().await;
            tell(actor, HostsRead(hosts)).await;
        });
    }

    fn apply_page(&mut self, after: Revision, sent_at: Moment, page: &NotePage) {
        let Source::Notes { history, .. } = &mut self.source else {
            return;
        };
        if page.head < history.view().revision {
            self.stale_reads += 1;
            return;
        }
        let applied = history.extend(after, &page.notes);
        let up_to_date = page.head == history.view().revision;
        self.publish();
        if up_to_date {
            self.readiness.on_platform_read();
            self.renew_lease(sent_at);
            self.confirm_keys(sent_at);
        } else if applied > 0 {
            // More notes follow, so the next page is read at once. A page without new notes isn't
            // followed by another read at once, since the platform may be unable to serve the next
            // note; the read budget determines the time of the next read.
            self.read_notes();
        }
    }
}
