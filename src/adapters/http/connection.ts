/** One connection of a client, with what it leaves open. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { ConnectionView } from "../../decisions/overload/index.ts";
import type { Clock } from "../../ports/index.ts";

/** Measures one connection. */
export class Connection implements ConnectionView {
  readonly socket: Socket;
  readonly openedAtMs: number;
  readonly #clock: Clock;
  heldBytes = 0;
  openRequestCount = 0;
  isClosed = false;
  /** Whether the reader of the last body does not keep up with the client. */
  isBodyAhead = false;
  /** Bytes that the client has sent and that wait to be parsed. */
  unparsedBytes = 0;
  /** Called when more of what the client sent may be parsed. */
  onProgress: () => void = () => undefined;
  /** Called when the connection closes; one for each open exchange. */
  readonly closeListeners = new Set<() => void>();
  #last: IncomingMessage | undefined;
  /** When the last request began, or the last answer was taken. */
  #turnAtMs: number;
  #progressAtMs: number;
  #readBytes = 0;
  #writtenBytes = 0;

  /**
   * @param socket - The socket of the connection.
   * @param clock - Measures for how long the server waits for the client.
   */
  constructor(socket: Socket, clock: Clock) {
    this.socket = socket;
    this.#clock = clock;
    this.openedAtMs = clock.monotonicMs();
    this.#turnAtMs = this.openedAtMs;
    this.#progressAtMs = this.openedAtMs;
  }

  /** The request that came last, which may be incomplete. */
  get lastRequest(): IncomingMessage | undefined {
    return this.#last;
  }

  get isBodyUnfinished(): boolean {
    return this.#last !== undefined && !this.#last.complete;
  }

  get isUnfinished(): boolean {
    return this.isBodyUnfinished || this.unparsedBytes > 0;
  }

  get waitingSinceMs(): number | undefined {
    if (this.openRequestCount === 0) {
      return this.#turnAtMs;
    }
    const isServersTurn = this.isBodyUnfinished
      ? this.isBodyAhead
      : !this.#isUnread && this.unparsedBytes === 0;
    return isServersTurn ? undefined : this.#progressAtMs;
  }

  /** Whether answers are ready that the client does not take. */
  get #isUnread(): boolean {
    return this.socket.writableLength > 0;
  }

  /**
   * Records that a request begins.
   *
   * @param request - The request.
   * @param response - Its response.
   * @param onTaken - Called once the client has taken the answer.
   */
  begin(
    request: IncomingMessage,
    response: ServerResponse,
    onTaken: () => void,
  ): void {
    this.#last = request;
    this.openRequestCount += 1;
    this.#turnAtMs = this.#clock.monotonicMs();
    this.#progressAtMs = this.#turnAtMs;
    this.isBodyAhead = false;
    response.once("close", () => {
      this.openRequestCount -= 1;
      this.#turnAtMs = this.#clock.monotonicMs();
      onTaken();
    });
  }

  /** Records that a part of a body was read. */
  advance(): void {
    this.#progressAtMs = this.#clock.monotonicMs();
  }

  /**
   * Measures how long the client has made no progress with what it has begun:
   * an unfinished body, or answers that are ready.
   *
   * @returns The time, in milliseconds; 0 while nothing waits for the client.
   */
  measureStallMs(): number {
    const nowMs = this.#clock.monotonicMs();
    const { bytesRead, bytesWritten, writableLength } = this.socket;
    const takenBytes = bytesWritten - writableLength;
    // Bytes that the server has not read yet are no fault of the client.
    const isSending = this.isBodyUnfinished && !this.isBodyAhead &&
      this.#last?.readableLength === 0;
    const hasProgress = bytesRead !== this.#readBytes ||
      takenBytes !== this.#writtenBytes;
    this.#readBytes = bytesRead;
    this.#writtenBytes = takenBytes;
    if (hasProgress || !(isSending || this.#isUnread)) {
      this.#progressAtMs = nowMs;
    }
    return nowMs - this.#progressAtMs;
  }
}
