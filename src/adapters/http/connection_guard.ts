/** Keeps what all clients of one HTTP interface leave open within its limits. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type {
  ConnectionExcess,
  ConnectionPolicy,
} from "../../decisions/overload/index.ts";
import type { ConnectionLimits } from "../../domain/index.ts";
import type {
  Clock,
  CloseReason,
  ConnectionMetrics,
  Logger,
} from "../../ports/index.ts";
import { Connection } from "./connection.ts";
import { ConnectionInput } from "./connection_input.ts";

/** Times that stalled clients are looked for within the limit. */
const CHECKS_PER_STALL = 5;
/** Share of the open requests that pipelined requests may fill. */
const PIPELINED_SHARE = 1 / 8;

/** Options of {@link ConnectionGuard}. */
export interface ConnectionGuardOptions {
  readonly limits: ConnectionLimits;
  readonly policy: ConnectionPolicy;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ConnectionMetrics;
  /** Returns how many handlers run, also of connections that were closed. */
  readonly countRunning: () => number;
}

/** Account of the body of one request. */
export interface BodyAccount {
  /** Whether the exchange has ended, so that nobody wants the body. */
  readonly isClosed: boolean;
  /**
   * Changes how many bytes are allocated.
   *
   * @param byteCount - All bytes of this body, from now on.
   * @returns False when there is no room; nothing has changed then.
   */
  resize(byteCount: number): boolean;
  /**
   * Tells whether the reader keeps up with the client.
   *
   * @param isAhead - Whether the client has to wait.
   */
  setAhead(isAhead: boolean): void;
  /** Releases the bytes, and the client if it waits. */
  close(): void;
}

/** Accounts for the connections of one server, and closes them. */
export class ConnectionGuard {
  readonly #options: ConnectionGuardOptions;
  readonly #connections = new Map<Socket, Connection>();
  /** Connections whose requests wait until fewer requests are open. */
  readonly #delayed = new Set<Connection>();
  #heldBytes = 0;
  #openRequestCount = 0;

  constructor(options: ConnectionGuardOptions) {
    this.#options = options;
  }

  /**
   * Takes a new connection, and closes one if there are too many.
   *
   * @param socket - Its socket.
   */
  open(socket: Socket): void {
    const connection = new Connection(socket, this.#options.clock);
    this.#connections.set(socket, connection);
    const input = new ConnectionInput({
      socket,
      mayParse: () => this.#mayParse(connection),
      findLastRequest: () => connection.lastRequest,
      onWaiting: (byteCount) => this.#setUnparsed(connection, byteCount),
    });
    connection.onProgress = () => input.wake();
    socket.once("close", () => this.#forget(connection));
    if (this.#connections.size > this.#options.limits.maxConnectionCount) {
      this.#closeOne("connections", connection);
    }
  }

  /** Returns the connection of a socket, or undefined once it has closed. */
  find(socket: Socket): Connection | undefined {
    return this.#connections.get(socket);
  }

  /**
   * Counts a request until its answer is taken.
   *
   * @param connection - The connection that it came on.
   * @param request - The request.
   * @param response - Its response.
   * @returns Whether it may be served, or is refused as there are too many.
   */
  begin(
    connection: Connection,
    request: IncomingMessage,
    response: ServerResponse,
  ): boolean {
    this.#openRequestCount += 1;
    connection.begin(request, response, () => {
      this.#openRequestCount -= connection.isClosed ? 0 : 1;
      connection.onProgress();
      this.wakeDelayed();
    });
    return this.#countRequests() <= this.#options.limits.maxOpenRequestCount;
  }

  /** Goes on with a connection that waits until fewer requests are open. */
  wakeDelayed(): void {
    const [connection] = this.#delayed;
    if (connection !== undefined && !this.#isShareTaken()) {
      this.#delayed.delete(connection);
      connection.onProgress();
    }
  }

  /**
   * Creates the account of a request's body.
   *
   * @param connection - The connection that it comes on.
   * @param request - The request.
   */
  createAccount(
    connection: Connection,
    request: IncomingMessage,
  ): BodyAccount {
    let heldBytes = 0;
    const account = {
      isClosed: false,
      resize: (byteCount: number) => {
        const isHeld = this.#hold(connection, byteCount - heldBytes);
        heldBytes = isHeld ? byteCount : heldBytes;
        return isHeld;
      },
      setAhead: (isAhead: boolean) => {
        if (connection.lastRequest === request) {
          connection.isBodyAhead = isAhead && !account.isClosed;
          connection.onProgress();
        }
      },
      close: () => {
        account.isClosed = true;
        account.resize(0);
        account.setAhead(false);
      },
    };
    return account;
  }

  /**
   * Closes connections whose clients make no progress, until the signal aborts.
   *
   * @param signal - Ends the checks.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, limits } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(limits.stallMs / CHECKS_PER_STALL, signal);
      for (const connection of [...this.#connections.values()]) {
        if (connection.measureStallMs() > limits.stallMs) {
          this.#close(connection, "stalled");
        }
      }
    }
  }

  // The first request of a connection does not wait for pipelined ones.
  #mayParse(connection: Connection): boolean {
    const { openRequestCount } = connection;
    if (connection.isBodyUnfinished) {
      return !connection.isBodyAhead;
    }
    if (openRequestCount === 0) {
      return true;
    }
    if (openRequestCount >= this.#options.limits.maxPipelinedCount) {
      return false;
    }
    const isDelayed = this.#isShareTaken();
    if (isDelayed) {
      this.#delayed.add(connection);
    }
    return !isDelayed;
  }

  #isShareTaken(): boolean {
    return this.#countRequests() >=
      this.#options.limits.maxOpenRequestCount * PIPELINED_SHARE;
  }

  #countRequests(): number {
    return Math.max(this.#openRequestCount, this.#options.countRunning());
  }

  #setUnparsed(connection: Connection, byteCount: number): void {
    const addedBytes = byteCount - connection.unparsedBytes;
    if (connection.isClosed || addedBytes === 0) {
      return;
    }
    connection.unparsedBytes = byteCount;
    if (!this.#hold(connection, addedBytes)) {
      this.#close(connection, "heldBytes");
    }
  }

  #hold(connection: Connection, byteCount: number): boolean {
    const { limits, metrics } = this.#options;
    if (connection.isClosed) {
      return byteCount <= 0;
    }
    if (byteCount > 0) {
      connection.advance();
    }
    while (
      byteCount > 0 && this.#heldBytes + byteCount > limits.maxHeldBytes
    ) {
      const closed = this.#closeOne("heldBytes", connection);
      if (closed === undefined || closed === connection) {
        return false;
      }
    }
    this.#heldBytes += byteCount;
    connection.heldBytes += byteCount;
    metrics.addHeldBytes(byteCount);
    return true;
  }

  #closeOne(
    excess: ConnectionExcess,
    cause: Connection,
  ): Connection | undefined {
    const { policy } = this.#options;
    const chosen = policy.choose(excess, this.#connections.values(), cause);
    // With no client to wait for, the new connection has to go.
    const victim = chosen ?? (excess === "connections" ? cause : undefined);
    if (victim !== undefined) {
      this.#close(victim, excess);
    }
    return victim;
  }

  #close(connection: Connection, reason: CloseReason): void {
    if (connection.isClosed) {
      return;
    }
    const { clock, limits, logger, metrics } = this.#options;
    const nowMs = clock.monotonicMs();
    const { waitingSinceMs } = connection;
    logger.warn({
      reason,
      remoteAddress: connection.socket.remoteAddress,
      ageMs: nowMs - connection.openedAtMs,
      waitingMs: waitingSinceMs === undefined ? 0 : nowMs - waitingSinceMs,
      connectionHeldBytes: connection.heldBytes,
      unparsedBytes: connection.unparsedBytes,
      connectionRequestCount: connection.openRequestCount,
      heldBytes: this.#heldBytes,
      openRequestCount: this.#openRequestCount,
      connectionCount: this.#connections.size,
      limits,
    }, "closed the connection of a client");
    metrics.countClosedConnection(reason);
    this.#forget(connection);
    connection.socket.destroy();
  }

  #forget(connection: Connection): void {
    if (connection.isClosed) {
      return;
    }
    this.#connections.delete(connection.socket);
    this.#delayed.delete(connection);
    this.#heldBytes -= connection.heldBytes;
    this.#options.metrics.addHeldBytes(-connection.heldBytes);
    this.#openRequestCount -= connection.openRequestCount;
    connection.isClosed = true;
    connection.heldBytes = 0;
    connection.closeListeners.forEach((listener) => listener());
    connection.closeListeners.clear();
  }
}
