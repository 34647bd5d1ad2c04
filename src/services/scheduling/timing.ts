/** Intervals, timeouts and limits of the scheduling services. */

/**
 * Age up to which a sample of the order of waiting steps decides about new jobs,
 * in milliseconds: a small part of a task's run, so that many jobs share one.
 */
export const ROOM_SAMPLE_AGE_MS = 100;
/** Interval at which the leader checks which pools are full (ms). */
export const ROOM_CHECK_MS = 500;

/**
 * Lease of the runs on a runner, in milliseconds. Each poll renews it. It is
 * long enough for one poll plus a restart of all controllers, which takes 2.4 s
 * with the election, and far shorter than the longest lease that a runner
 * grants. The work of a runner that stops responding can be placed elsewhere
 * after this time.
 */
export const RUN_LEASE_MS = 3_600;
/**
 * Least remaining time of a granted lease that a start may use without a new
 * grant, in milliseconds. The next poll renews the lease.
 */
export const MIN_START_LEASE_MS = 1_700;
/** Share by which a runner's clock may be slower than the leader's. */
export const MAX_CLOCK_DRIFT = 0.02;
/**
 * Age of the newest reading of a runner's clock at which an idle runner is
 * polled, in milliseconds. A lease is shorter by the drift of the clock in this
 * time.
 */
export const MAX_READING_AGE_MS = 30_000;
/**
 * Margin after the end of a lease before its runs count as ended, in
 * milliseconds.
 */
export const LEASE_SLACK_MS = 100;
/** Interval at which the task of an idle runner checks for work (ms). */
export const IDLE_CHECK_MS = 1_000;
/**
 * How long a busy runner may delay a poll until a run ends, in milliseconds: a
 * fifth of a lease, because each poll of each runner costs the leader.
 */
export const POLL_WAIT_MS = 700;
/** Time for the answer to a poll after that wait (ms): far above a round trip. */
export const POLL_TIMEOUT_MS = 700;
/** Least timeout of a poll of a runner that does not respond (ms). */
export const MIN_POLL_TIMEOUT_MS = 50;
/**
 * Least time without progress after which a run is stopped and placed elsewhere
 * (ms): three polls tell the same. A longer estimate of the task prolongs it.
 */
export const STILL_MS = 2 * POLL_WAIT_MS;
/**
 * Time after its wait at which a request counts as overdue, in milliseconds:
 * several round trips between zones. A runner with an overdue request gets no
 * new work.
 */
export const OVERDUE_MS = 250;
/**
 * How long a runner may delay a poll while a run is being stopped or a start has
 * got no answer, in milliseconds.
 */
export const CLOSING_POLL_WAIT_MS = 150;
/** Resolution of a runner's clock, in milliseconds. */
export const CLOCK_STEP_MS = 1;
/** Interval at which confirmed starts are recorded in the log (ms). */
export const CONFIRM_TICK_MS = 500;
/** Pause after a poll that reported ended runs, so that more gather (ms). */
export const END_BATCH_MS = 25;
/** Pause after a failed request, in milliseconds: at most a tenth of a lease. */
export const REQUEST_RETRY_MS = 200;
/**
 * Longest pause after a poll of a runner that refuses connections, in
 * milliseconds. Each refusal doubles the pause, which is
 * {@link REQUEST_RETRY_MS} after the first.
 */
export const MAX_REFUSED_RETRY_MS = 800;
/**
 * Refused connections in a row after which a runner without runs is removed. Its
 * next announcement brings it back.
 */
export const MAX_REFUSED_POLLS = 3;
/**
 * Pause after a failed poll of a runner whose leases have expired, in
 * milliseconds.
 */
export const EXPIRED_RETRY_MS = 1_000;
/**
 * Unanswered starts after which a run that no report lists is stopped and its
 * task placed elsewhere.
 */
export const MAX_START_ATTEMPTS = 2;
/** Margin after the time of a stop, for the way of its answer (ms). */
export const STOP_MARGIN_MS = 100;
/**
 * How long a controller gathers announcements without a change before it
 * reports them to the leader (ms): far below {@link MAX_SILENCE_INTERVALS}.
 */
export const CONTACT_GATHER_MS = 300;
/** Largest number of announcements in one report. */
export const MAX_CONTACT_COUNT = 1_000;
/** Timeout of such a report, in milliseconds. */
export const CONTACT_CALL_MS = 600;
/**
 * Time without an announcement or answer of a runner after which it gets no
 * work, in intervals of its announcements: two of them may be missed.
 */
export const MAX_SILENCE_INTERVALS = 2.4;
/**
 * Time without contact after which an idle runner is removed, in milliseconds.
 */
export const FORGET_RUNNER_MS = 12_000;
/**
 * Longest pause of the scheduler, in milliseconds. It limits how late the
 * scheduler notices due times and leases, which cause no notification.
 */
export const SCHEDULER_TICK_MS = 200;
/**
 * Least pause between two plans, in milliseconds: about one commit, so that
 * several changes go into one plan.
 */
export const PLAN_PAUSE_MS = 6;
/** How long changes of the log are batched before tasks are notified (ms). */
export const LOG_BATCH_MS = 3;
/** Pause after a failed proposal, in milliseconds. */
export const PROPOSE_RETRY_MS = 100;
/** How long a leaving runner may take to end after its notice (ms). */
export const LEAVE_GRACE_MS = 300;
/** Interval at which the leadership is checked, in milliseconds. */
export const LEADERSHIP_CHECK_MS = 50;
/**
 * Interval at which waves advance, in milliseconds; each calls the platform
 * once.
 */
export const WAVE_TICK_MS = 700;
/**
 * Interval at which waves advance while tasks have to move one after the other
 * (ms): a fraction of the time in which a task starts elsewhere.
 */
export const MOVING_WAVE_TICK_MS = 200;
/**
 * Time after its start in which a long-running task is expected to reach full
 * work, in milliseconds. Polls show it sooner during that time.
 */
export const STARTUP_WATCH_MS = 3_000;
/**
 * Time for which a VM must be missing from the list of VMs to count as gone (ms):
 * longer than a VM is down that comes back.
 */
export const VM_GONE_MS = 12_000;
/**
 * Time for which a VM that is up must be listed without a runner to count as
 * empty (ms): several listings, each of which may have a gap.
 */
export const VM_EMPTY_MS = 3_000;
/** Most orders to maintain a VM that wait for an answer. */
export const MAX_MAINTENANCE_ORDERS_IN_FLIGHT = 4;
/**
 * Time by which the start of a runner may lie ahead of the leader's wall clock,
 * in milliseconds: far above what clocks of one deployment differ by.
 */
export const MAX_START_TIME_AHEAD_MS = 24 * 3_600_000;
/**
 * Time after an order was received in which its sender certainly waits for the
 * answer (ms): operators turn to another controller after 1 s.
 */
export const ORDER_WAIT_MS = 900;
/**
 * Time in which the end of a connection arrives that was closed right behind a
 * request (ms): several round trips between zones.
 */
export const HANG_UP_MS = 20;
/**
 * Time without any answer of the leader to a process that has calls under way
 * after which it counts as lost, in milliseconds.
 */
export const LEADER_CALL_MS = 1_200;
/** Pause between two attempts to reach the leader, in milliseconds. */
export const LEADER_RETRY_MS = 60;
/** The same while the leader is lost and searched for, and of its pings (ms). */
export const LEADER_SEARCH_MS = 250;
/**
 * Time after the loss of the leader from which calls fail after one attempt, in
 * milliseconds. A planned change of leader takes less.
 */
export const LOST_LEADER_WAIT_MS = 700;
/** Interval at which an entry pings the leader, in milliseconds. */
export const LEADER_PING_MS = 700;
/** Age of the newest answer of the leader at which an entry is not ready (ms). */
export const LEADER_ANSWER_MAX_AGE_MS = 4_000;

/** Interval at which the capacity of the pools is rebalanced, in milliseconds. */
export const CAPACITY_TICK_MS = 120;
/**
 * Most moves between two plans of capacity, so that a plan is not carried out
 * long after the demand has changed.
 */
export const MAX_MOVES_PER_PLAN = 40;
/**
 * Share of the platform's rate of orders that moves may use; the rest is for
 * maintenance.
 */
export const MOVE_RATE_SHARE = 0.75;
/** Span over which the rate of moves is kept, in milliseconds. */
export const MOVE_RATE_SPAN_MS = 250;
/**
 * Most orders to move a VM that wait for an answer: fewer than the VM control
 * has connections, so that none waits there after it was checked.
 */
export const MAX_MOVES_IN_FLIGHT = 6;
/**
 * Time after an unanswered order in which a VM may still move (ms): the timeout
 * of the order.
 */
export const MOVE_DOUBT_MS = 1_500;
/** Time until a moved VM serves its new pool, in milliseconds. */
export const MOVE_MS = 2_300;
/** How far ahead demand is predicted, in milliseconds: the duration of a move. */
export const FORECAST_AHEAD_MS = 2_000;
/** Window over which arriving work is averaged, in milliseconds. */
export const ARRIVAL_WINDOW_MS = 600;
/** Least number of jobs in that window for which the average is used. */
export const MIN_ARRIVALS = 3;
/**
 * Age at which the list of VMs is read again while it lacks a known runner, in
 * milliseconds; otherwise it may be ten times as old.
 */
export const MAX_LISTING_AGE_MS = 700;

/** Most runners in one request to the advice service. */
export const ADVICE_RUNNER_COUNT = 30;
/** Pause of the advice task when there is nothing to request, in milliseconds. */
export const ADVICE_IDLE_MS = 200;
/** Margin added to the decision time that the queue declares, in milliseconds. */
export const ADVICE_MARGIN_MS = 600;
/**
 * Part of a ticket's validity reserved for its way to the runner, in
 * milliseconds.
 */
export const TICKET_MARGIN_MS = 150;
/**
 * Interval at which best-effort runs are paced (ms): half the span of a
 * reported load.
 */
export const PACE_TICK_MS = 250;
/**
 * Time after a request to a runner was sent in which it may be carried out if it
 * got no answer (ms): the longest delay that the platform names.
 */
export const LATE_REQUEST_MS = 12_000;

/** Duration of a term's start, in which its work is logged in detail (ms). */
export const LEADER_START_MS = 3_000;
/** Interval at which a leader logs its work at the start of a term (ms). */
export const LEADER_START_WORK_MS = 500;
/** Interval at which a leader logs its work after that, in milliseconds. */
export const LEADER_WORK_MS = 1_000;

/** Interval at which the delay of the event loop is measured (ms). */
export const EVENT_LOOP_CHECK_MS = 250;
/**
 * Delay of a timer from which the event loop counts as late, in milliseconds:
 * the margin of a lease.
 */
export const LATE_EVENT_LOOP_MS = LEASE_SLACK_MS;
/** Least time between two log lines about a late event loop (ms). */
export const LATE_EVENT_LOOP_LINE_MS = 1_000;
