//! Reads release notes and the list of hosts.

use std::sync::Arc;

use kameo::message::{Context, Message};
use platform::{HostList, NotePage, PlatformError};
use types::{Moment, Revision};

use super::{Source, Spreader, tell};

/// Of so many reads one asks for the list of hosts.
const READS_PER_HOSTS: u64 = 4;

#[derive(Debug)]
struct ReadNotes {
    after: Revision,
    asked: Moment,
    page: Result<NotePage, PlatformError>,
}

#[derive(Debug)]
struct ReadHosts(Result<HostList, PlatformError>);

impl Message<ReadNotes> for Spreader {
    type Reply = ();

    async fn handle(&mut self, msg: ReadNotes, _ctx: &mut Context<Self, ()>) {
        self.reads += 1;
        self.spread.set_reaching(msg.page.is_ok());
        match msg.page {
            Ok(page) => self.take_page(msg.after, msg.asked, &page),
            Err(error) => {
                self.failed_reads += 1;
                log::debug!(error:% = error; "read_failed");
            }
        }
        self.try_ready();
    }
}

impl Message<ReadHosts> for Spreader {
    type Reply = ();

    async fn handle(&mut self, msg: ReadHosts, _ctx: &mut Context<Self, ()>) {
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

impl Spreader {
    /// Reads the notes that follow the own view, or now and then the list of hosts.
    pub(super) fn read_history(&self) {
        match self.reads % READS_PER_HOSTS {
            last if last == READS_PER_HOSTS - 1 => self.read_hosts(),
            _ => self.read_notes(),
        }
    }

    fn read_notes(&self) {
        let Source::Notes { platform, history } = &self.source else {
            return;
        };
        self.meter.control("read");
        let (platform, actor) = (Arc::clone(platform), self.actor.clone());
        let after = history.view().revision;
        let asked = self.board.clock.now();
        tokio::spawn(async move {
            let page = platform.notes(after).await;
            tell(actor, ReadNotes { after, asked, page }).await;
        });
    }

    fn read_hosts(&self) {
        let Source::Notes { platform, .. } = &self.source else {
            return;
        };
        self.meter.control("read");
        let (platform, actor) = (Arc::clone(platform), self.actor.clone());
        tokio::spawn(async move {
            let hosts = platform.hosts().await;
            tell(actor, ReadHosts(hosts)).await;
        });
    }

    fn take_page(&mut self, after: Revision, asked: Moment, page: &NotePage) {
        let Source::Notes { history, .. } = &mut self.source else {
            return;
        };
        if page.head < history.view().revision {
            self.stale_reads += 1;
            return;
        }
        let folded = history.extend(after, &page.notes);
        let whole = page.head == history.view().revision;
        self.publish();
        if whole {
            self.join.read();
            self.renew(asked);
        } else if folded > 0 {
            // The page was full: the next one follows at once.
            self.read_notes();
        }
    }
}
