/** Intervals, timeouts and limits of the relaying of requests. */
/**
 * Number of runners up to which the leader sends all requests and takes all
 * announcements itself. So many need only a small part of its processor time,
 * and another controller in between adds two ways to each.
 */
export const MAX_DIRECT_RUNNER_COUNT = 100;
/**
 * Number of controllers that relay at once. With more of them, each message
 * would carry fewer requests.
 */
export const RELAY_COUNT = 3;
/**
 * How long requests and answers gather for one message (ms): about a round trip
 * between controllers.
 */
export const RELAY_GATHER_MS = 5;
/** Largest number of requests or answers in one message. */
export const MAX_RELAY_BATCH_COUNT = 500;
/**
 * Time for a relay to confirm a message (ms): several round trips and a late
 * event loop. A relay that takes longer counts as lost.
 */
export const RELAY_CONFIRM_MS = 400;
/**
 * Time beyond the timeout of a request after which its answer counts as lost,
 * in milliseconds.
 */
export const RELAY_ANSWER_MARGIN_MS = 300;
/** Timeout of a request other than a poll at the relay (ms). */
export const RELAY_REQUEST_MS = 700;
/** Interval at which the controllers that can relay are listed (ms). */
export const RELAY_CHECK_MS = 100;
/**
 * Time since the newest message of a relay for which it takes over the runners
 * of a lost one, in milliseconds.
 */
export const RELAY_PROOF_MS = 1_000;
/** Time for which a lost relay is not used (ms). */
export const RELAY_PAUSE_MS = 10_000;
/**
 * Time for which the leader itself sends the requests to a runner that a relay
 * did not reach, in milliseconds.
 */
export const DIRECT_RETRY_MS = 10_000;
