/** Outgoing calls to one peer, over a connection that one task maintains. */
import { connect, type Socket } from "node:net";
import { Result } from "true-myth";
import * as v from "valibot";
import { createFailure, type Failure } from "../../domain/index.ts";
import type {
  Clock,
  Logger,
  Metrics,
  PeerCallOptions,
} from "../../ports/index.ts";
import { Notifier } from "../../tasks/index.ts";
import { encodeFrame, FrameReader } from "./frame_codec.ts";
import { connectHandshake } from "./handshake.ts";
import { answerSchema } from "./messages.ts";
import {
  HANDSHAKE_TIMEOUT_MS,
  MAX_FRAME_BYTES,
  MAX_HANDSHAKE_FRAME_BYTES,
  MAX_UNSENT_BYTES,
} from "./limits.ts";

const RECONNECT_DELAY_MS = 200;

/** Entry id and address of a peer. */
export interface PeerAddress {
  readonly entryId: string;
  readonly host: string;
  readonly port: number;
}

/** Options of {@link PeerLink}. */
export interface PeerLinkOptions {
  /** Id of this entry. */
  readonly entryId: string;
  readonly secret: string;
  readonly peer: PeerAddress;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

type Settle = (answer: Result<unknown, Failure>) => void;

/** Calls one peer over one connection, and reconnects when it breaks. */
export class PeerLink {
  readonly #options: PeerLinkOptions;
  readonly #pending = new Map<number, Settle>();
  readonly #connected = new Notifier();
  #socket: Socket | undefined;
  #nextCallId = 1;
  #lastReceivedAtMs = -Infinity;

  constructor(options: PeerLinkOptions) {
    this.#options = options;
  }

  /**
   * Connects to the peer, and reconnects until the signal aborts.
   *
   * @param signal - Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, logger, peer } = this.#options;
    while (!signal.aborted) {
      const socket = connect({
        host: peer.host,
        port: peer.port,
        noDelay: true,
      });
      socket.on("error", () => undefined);
      const close = () => socket.destroy();
      signal.addEventListener("abort", close, { once: true });
      try {
        await this.#runConnection(socket);
      } catch (error) {
        logger.debug(
          { peerId: peer.entryId, err: error },
          "the connection to a peer failed",
        );
      }
      signal.removeEventListener("abort", close);
      socket.destroy();
      this.#failPending();
      await clock.sleep(RECONNECT_DELAY_MS, signal);
    }
  }

  /**
   * Calls the peer.
   *
   * @param method - Name of the method.
   * @param body - Body of the call.
   * @param options - Timeout (ms) and signal.
   * @returns The answer, or `peerUnreachable`; `isSent` in its detail is false
   * only if the call was certainly not sent.
   */
  async call(
    method: string,
    body: unknown,
    options: PeerCallOptions,
  ): Promise<Result<unknown, Failure>> {
    const { clock } = this.#options;
    const abortController = new AbortController();
    // `AbortSignal.any` would leave a reference on the caller's signal for each
    // call.
    const abort = () => abortController.abort("the call has ended");
    options.signal?.addEventListener("abort", abort, { once: true });
    const startedAtMs = clock.monotonicMs();
    let isSettled = options.signal?.aborted ?? false;
    let isSent = false;
    const timeout = clock.sleep(options.timeoutMs, abortController.signal).then(
      () => {
        const hasTimedOut =
          clock.monotonicMs() - startedAtMs >= options.timeoutMs;
        if (hasTimedOut && !isSettled) {
          this.#closeUnresponsiveSocket(startedAtMs);
        }
        return Result.err<unknown, Failure>(
          this.#createUnreachableFailure(
            `no answer to ${method} in time`,
            isSent,
          ),
        );
      },
    );
    if (options.signal?.aborted) {
      abort();
    }
    const pendingAnswer = this.#send(
      method,
      body,
      abortController.signal,
      () => {
        isSent = true;
      },
    );
    const answer = await Promise.race([pendingAnswer, timeout]);
    isSettled = true;
    options.signal?.removeEventListener("abort", abort);
    abort();
    return answer;
  }

  async #send(
    method: string,
    body: unknown,
    signal: AbortSignal,
    onSent: () => void,
  ): Promise<Result<unknown, Failure>> {
    while (this.#socket === undefined && !signal.aborted) {
      await this.#connected.wait(signal);
    }
    const socket = this.#socket;
    if (socket === undefined || signal.aborted) {
      return Result.err(this.#createUnreachableFailure("not connected", false));
    }
    if (socket.writableLength > MAX_UNSENT_BYTES) {
      return Result.err(
        this.#createUnreachableFailure(
          "the peer does not read its connection",
          false,
        ),
      );
    }
    const callId = this.#nextCallId;
    this.#nextCallId += 1;
    const answered = new Promise<Result<unknown, Failure>>((resolve) => {
      this.#pending.set(callId, resolve);
      signal.addEventListener("abort", () => this.#pending.delete(callId), {
        once: true,
      });
    });
    const frame = encodeFrame({ type: "call", callId, method, body });
    this.#options.metrics.countControlBytes("sent", frame.length);
    onSent();
    socket.write(frame);
    return await answered;
  }

  async #runConnection(socket: Socket): Promise<void> {
    const { entryId, secret, peer, clock, metrics } = this.#options;
    const reader = new FrameReader(socket, MAX_HANDSHAKE_FRAME_BYTES);
    socket.setTimeout(HANDSHAKE_TIMEOUT_MS, () => socket.destroy());
    await connectHandshake({ entryId, secret, socket, reader }, peer.entryId);
    socket.setTimeout(0);
    reader.maxFrameBytes = MAX_FRAME_BYTES;
    this.#socket = socket;
    this.#connected.notify();
    for (;;) {
      const bytesReadBefore = socket.bytesRead;
      const message = await reader.read();
      if (message === undefined) {
        return;
      }
      metrics.countControlBytes("received", socket.bytesRead - bytesReadBefore);
      this.#lastReceivedAtMs = clock.monotonicMs();
      const answer = v.parse(answerSchema, message);
      const settle = this.#pending.get(answer.callId);
      this.#pending.delete(answer.callId);
      settle?.(
        answer.failure === undefined
          ? Result.ok(answer.value)
          : Result.err(answer.failure),
      );
    }
  }

  // A network partition can leave a dead connection open for minutes. If
  // nothing was received during a whole call, reconnecting is more likely to
  // help than waiting.
  #closeUnresponsiveSocket(startedAtMs: number): void {
    if (this.#lastReceivedAtMs < startedAtMs) {
      this.#socket?.destroy();
    }
  }

  #failPending(): void {
    this.#socket = undefined;
    const pending = [...this.#pending.values()];
    this.#pending.clear();
    for (const settle of pending) {
      settle(
        Result.err(
          this.#createUnreachableFailure("the connection was closed", true),
        ),
      );
    }
  }

  // With `isSent`, the peer may have handled the call although no answer came.
  #createUnreachableFailure(reason: string, isSent: boolean): Failure {
    return createFailure(
      "peerUnreachable",
      `entry ${this.#options.peer.entryId}: ${reason}`,
      { detail: { isSent } },
    );
  }
}
