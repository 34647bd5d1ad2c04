/** Port for metrics of the connections of HTTP interfaces. */

/** Why a connection was closed before its client closed it. */
export type CloseReason = "connections" | "heldBytes" | "stalled";

/** Records measurements of connections. */
export interface ConnectionMetrics {
  /** Counts a connection that was closed. */
  countClosedConnection(reason: CloseReason): void;
  /** Adds to the bytes that are allocated for requests; negative on release. */
  addHeldBytes(byteCount: number): void;
}
