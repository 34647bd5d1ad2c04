/** Limits of connections between entries. */

/** Largest frame before a peer is authenticated, in bytes. */
export const MAX_HANDSHAKE_FRAME_BYTES = 1_024;
/** Largest frame of an authenticated peer, in bytes. */
export const MAX_FRAME_BYTES = 16 * 1_024 * 1_024;
/** Time for the whole handshake, in milliseconds. */
export const HANDSHAKE_TIMEOUT_MS = 2_000;
/** Connections that may be open without being authenticated. */
export const MAX_UNAUTHENTICATED_CONNECTIONS = 64;
/** Calls of one peer that may run at once. */
export const MAX_RUNNING_CALLS = 4_096;
/** Bytes that may wait for a peer that does not read. */
export const MAX_UNSENT_BYTES = 2 * MAX_FRAME_BYTES;
