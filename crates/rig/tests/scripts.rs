//! Runs the goldenscripts below `scripts/` against clusters of node processes. Their expected
//! output contains outcomes, counts and final states, but no times, so that it is the same in every
//! run.

mod support;

use support::runner::ScriptRunner;

macro_rules! scenarios {
    ($($net:literal $name:ident $path:literal;)*) => {$(
        #[test]
        fn $name() -> std::io::Result<()> {
            goldenscript::run(&mut ScriptRunner::new(stringify!($name), $net), concat!("tests/scripts/", $path))
        }
    )*};
}

scenarios! {
    30 killed_gate_leaves_outcome_unknown_and_request_is_not_resent "at_most_once/gate_killed";
    31 paused_gate_does_not_run_request_past_its_deadline "at_most_once/gate_paused";
    32 outcome_is_queried_over_new_connection_when_old_one_goes_silent "at_most_once/silent_connection";
    33 lost_reply_is_fetched_again_after_link_recovers "at_most_once/replies_lost";
    34 lost_request_is_not_run_late "at_most_once/requests_lost";
    35 broken_responses_are_reported_as_unknown_outcome "at_most_once/broken_responses";
    36 requests_for_unreachable_server_go_to_another_server "at_most_once/server_unreachable";
    37 caller_disconnect_cancels_request_and_nested_requests "at_most_once/caller_disconnects";
    40 release_note_reaches_all_nodes_and_restarted_node_keeps_latest_revision "release_notes/distribution";
    41 one_of_two_concurrent_release_notes_is_rejected_on_all_nodes "release_notes/concurrent_changes";
    42 node_isolated_from_platform_and_peers_accepts_no_work "release_notes/isolated_nodes";
    43 zone_taken_out_gets_no_new_work_until_it_returns "drain/zone_out_and_in";
    44 node_resuming_in_zone_taken_out_accepts_no_work "drain/zone_out_while_node_paused";
    45 leaving_host_and_leaving_server_get_no_new_work "drain/leaving_host_and_server";
    46 graceful_shutdown_completes_running_requests "shutdown/graceful";
    47 second_interrupt_forces_shutdown_and_repeated_terminate_does_not "shutdown/second_signal";
    39 restarted_server_gets_no_more_than_its_cold_limit "cold_start/restart_under_load";
    38 request_of_killed_ingress_runs_once "at_most_once/ingress_killed";
}
