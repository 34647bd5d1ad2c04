/** Times of the scheduler. */

/**
 * How long runs may go on without another look at their runner, in
 * milliseconds: a look and a start of all controllers (2.4 s with the election)
 * fit into it. It stays below the platform's longest lease of 6 s. The work of a
 * silent runner is back after this time.
 */
export const RUN_LEASE_MS = 3_400;
/**
 * What must be left of a lease for a start to go without a longer one, in
 * milliseconds: the next look extends it.
 */
export const START_LEASE_MS = 1_700;
/** How much slower than this clock a runner's clock may be, as a share. */
export const MAX_CLOCK_DRIFT = 0.02;
/** Added to the end of a lease before its runs count as over, in milliseconds. */
export const LEASE_SLACK_MS = 100;
/** How often an idle runner's task looks whether there is work (ms). */
export const IDLE_CHECK_MS = 1_000;
/** How long a look waits at a busy runner for an end (ms): an eighth of a lease. */
export const POLL_WAIT_MS = 400;
/** Time for an answer beyond that wait (ms): far above a round trip. */
export const POLL_TIMEOUT_MS = 700;
/** The same for a last look at a silent runner, at the least (ms). */
export const MIN_POLL_TIMEOUT_MS = 50;
/**
 * Time beyond its wait after which an order counts as overdue, and its runner
 * gets no new work, in milliseconds: several round trips between zones.
 */
export const OVERDUE_MS = 250;
/** The same while a run is being stopped, in milliseconds. */
export const CLOSING_POLL_WAIT_MS = 150;
/** Pause after a look that brought ends, so that the next brings several (ms). */
export const END_BATCH_MS = 15;
/** Pause after a failed order, in milliseconds: a tenth of a run's lease or less. */
export const ORDER_RETRY_MS = 200;
/** Pause after a failed look at a runner whose leases have ended, in milliseconds. */
export const LOST_RETRY_MS = 1_000;
/** Unanswered starts after which a run is closed and placed elsewhere. */
export const MAX_START_ATTEMPTS = 2;
/**
 * Age of the newest sign of a runner after which it gets no work, in
 * milliseconds: two announcements may be missed.
 */
export const MAX_SILENCE_MS = 3_600;
/** Silence after which an idle runner is forgotten, in milliseconds. */
export const FORGET_RUNNER_MS = 12_000;
/** Longest pause of the scheduler, for due times and leases, in milliseconds. */
export const SCHEDULER_TICK_MS = 200;
/**
 * Least pause between two plans, in milliseconds: about one commit, in which
 * several changes gather.
 */
export const PLAN_PAUSE_MS = 6;
/** How long changes of the log gather before tasks look at them (ms). */
export const LOG_BATCH_MS = 3;
/** Pause after a proposal that failed, in milliseconds. */
export const PROPOSE_RETRY_MS = 100;
/** How long a leaving runner is given to end after its notice, in milliseconds. */
export const LEAVE_GRACE_MS = 300;
/** How often the leadership is looked at, in milliseconds. */
export const LEADERSHIP_CHECK_MS = 50;
/** How often waves are looked at, in milliseconds: a call to the platform each. */
export const WAVE_TICK_MS = 700;
/** Time for one call to the leader, in milliseconds. */
export const LEADER_CALL_MS = 1_200;
/** Pause between two attempts to reach the leader, in milliseconds. */
export const LEADER_RETRY_MS = 60;
/** The same for a controller that is only asked whether it leads (ms). */
export const LEADER_SEARCH_MS = 250;
/**
 * How long callers wait for a lost leader before they are refused at once, in
 * milliseconds: a planned change of leader fits into it.
 */
export const LOST_LEADER_WAIT_MS = 700;
/** How often an entry asks whether it reaches the leader, in milliseconds. */
export const LEADER_PING_MS = 700;
/** Age of the leader's newest answer after which an entry is not ready (ms). */
export const LEADER_ANSWER_MAX_AGE_MS = 4_000;

/** How often the capacity of the pools is looked at, in milliseconds. */
export const CAPACITY_TICK_MS = 120;
/** How long a VM is kept free of new work before it moves: two commits (ms). */
export const CORDON_MS = 40;
/** Time in which a moved VM serves its new pool, in milliseconds. */
export const MOVE_MS = 2_300;
/** How far ahead demand is predicted: what a move takes, in milliseconds. */
export const FORECAST_AHEAD_MS = 2_000;
/** Time over which arriving work is averaged, in milliseconds. */
export const ARRIVAL_WINDOW_MS = 600;
/** Jobs in that time from which on their average counts. */
export const MIN_ARRIVALS = 3;
/** Age at which the list of VMs is read again when runners are new (ms). */
export const MAX_LISTING_AGE_MS = 700;

/** Runners that one question to the advice service names. */
export const ADVICE_RUNNER_COUNT = 30;
/** Pause of the advice desk without a question, in milliseconds. */
export const ADVICE_IDLE_MS = 200;
/** Added to the time that the service's terms name, in milliseconds. */
export const ADVICE_MARGIN_MS = 600;
/** Kept of a ticket's validity for the way to the runner, in milliseconds. */
export const TICKET_MARGIN_MS = 150;
/** How often the pace of leftover work is looked at (ms): half a reported span. */
export const PACE_TICK_MS = 250;
