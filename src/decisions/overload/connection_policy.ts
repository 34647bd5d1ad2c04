/** Chooses which connections are closed when clients leave too much open. */

/** Which limit is exceeded. */
export type ConnectionExcess = "connections" | "heldBytes";

/** What the policy knows of a connection. */
export interface ConnectionView {
  /**
   * Monotonic time since when the server waits for the client: for a request,
   * more of a body, or that more of an answer is read, in milliseconds; also
   * since when it has sent more requests than are served at once. Undefined while
   * the client waits for the server.
   */
  readonly waitingSinceMs: number | undefined;
  /** Whether it has sent a part of a request, or requests that wait. */
  readonly isUnfinished: boolean;
  /** Bytes that are allocated for what it has sent. */
  readonly heldBytes: number;
}

/** Chooses connections to close. */
export interface ConnectionPolicy {
  /**
   * Chooses a connection to close.
   *
   * @param excess - Which limit is exceeded.
   * @param connections - All open connections.
   * @param cause - The connection that exceeded the limit; one of them.
   * @returns The connection, or undefined when none may be closed.
   */
  choose<View extends ConnectionView>(
    excess: ConnectionExcess,
    connections: Iterable<View>,
    cause: View,
  ): View | undefined;
}

/**
 * Closes the connection that has kept the server waiting longest, so that
 * clients that stay do not shut out others.
 */
export class LongestWaitPolicy implements ConnectionPolicy {
  choose<View extends ConnectionView>(
    excess: ConnectionExcess,
    connections: Iterable<View>,
  ): View | undefined {
    let chosen: View | undefined;
    let chosenSinceMs = Infinity;
    for (const connection of connections) {
      const sinceMs = connection.waitingSinceMs;
      const isCandidate = sinceMs !== undefined &&
        (excess === "connections" ||
          (connection.isUnfinished && connection.heldBytes > 0));
      if (isCandidate && sinceMs < chosenSinceMs) {
        chosen = connection;
        chosenSinceMs = sinceMs;
      }
    }
    return chosen;
  }
}

/** Baseline: closes the connection that exceeded the limit. */
export class NewestFirstPolicy implements ConnectionPolicy {
  choose<View extends ConnectionView>(
    _excess: ConnectionExcess,
    _connections: Iterable<View>,
    cause: View,
  ): View {
    return cause;
  }
}
