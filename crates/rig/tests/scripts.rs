//! Scripted scenarios over real processes. Each file below `scripts/` is one scenario; its expected
//! output holds outcomes, counts and final states, and no times.

mod support;

use support::runner::Script;

macro_rules! scenarios {
    ($($net:literal $name:ident $file:literal;)*) => {$(
        #[test]
        fn $name() -> std::io::Result<()> {
            goldenscript::run(&mut Script::new(stringify!($name), $net), concat!("tests/scripts/", $file))
        }
    )*};
}

scenarios! {
    30 a_killed_gate_leaves_the_outcome_unknown_and_nothing_is_resent "at_most_once/gate_killed";
    31 a_frozen_gate_runs_nothing_late "at_most_once/gate_paused";
    32 a_silent_connection_is_asked_about_over_a_fresh_one "at_most_once/silent_connection";
    33 replies_that_are_lost_are_asked_for "at_most_once/replies_lost";
    34 requests_that_are_lost_never_run_later "at_most_once/requests_lost";
    35 broken_answers_are_unknown_and_never_passed_off_as_whole "at_most_once/broken_responses";
    36 refusals_of_a_backend_server_are_tried_elsewhere "at_most_once/server_unreachable";
    37 a_caller_that_goes_away_cancels_its_call "at_most_once/caller_disconnects";
    40 a_note_is_in_force_everywhere_and_a_restarted_node_never_goes_back "release_notes/distribution";
    41 of_two_operators_at_once_one_is_rejected_everywhere "release_notes/concurrent_changes";
    42 a_node_without_platform_and_peers_takes_no_work "release_notes/isolated_nodes";
    43 a_zone_taken_out_gets_no_new_work_and_returns "drain/zone_out_and_in";
    44 a_node_that_wakes_up_late_gives_a_zone_taken_out_no_work "drain/zone_out_while_node_paused";
    45 a_leaving_host_gets_no_new_work "drain/leaving_host_and_server";
    46 a_graceful_shutdown_cuts_no_request "shutdown/graceful";
    47 a_second_signal_and_a_deadline_end_a_shutdown "shutdown/second_signal";
    39 a_backend_server_that_turns_cold_gets_only_what_it_bears "cold_start/restart_under_load";
    38 a_killed_ingress_leaves_one_run "at_most_once/ingress_killed";
}
