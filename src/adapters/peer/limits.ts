/** Limits of the TCP connections between entries. */

/** Largest frame that an unauthenticated peer may send, in bytes. */
export const MAX_HANDSHAKE_FRAME_BYTES = 1_024;
/** Largest frame that an authenticated peer may send, in bytes. */
export const MAX_FRAME_BYTES = 16 * 1_024 * 1_024;
/** Timeout of the whole handshake, in milliseconds. */
export const HANDSHAKE_TIMEOUT_MS = 2_000;
/**
 * Time without any answer after which a connection to a peer with open calls
 * counts as dead, in milliseconds: twice the longest time for which a peer delays
 * an answer on purpose, and the least time after which voters replace a leader.
 */
export const PEER_SILENCE_MS = 1_000;
/** Maximum number of open connections that are not yet authenticated. */
export const MAX_UNAUTHENTICATED_CONNECTIONS = 64;
/** Maximum number of concurrent calls from one connection. */
export const MAX_RUNNING_CALLS = 4_096;
/** Maximum size of the send buffer for a peer that reads slowly, in bytes. */
export const MAX_UNSENT_BYTES = 2 * MAX_FRAME_BYTES;
