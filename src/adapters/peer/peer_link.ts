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
import { encodeFrame, FrameReader } from "./frame_codec.ts";
import { connectHandshake } from "./handshake.ts";
import { answerSchema } from "./messages.ts";
import {
  HANDSHAKE_TIMEOUT_MS,
  MAX_FRAME_BYTES,
  MAX_HANDSHAKE_FRAME_BYTES,
  MAX_UNSENT_BYTES,
  PEER_SILENCE_MS,
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

/** A call that has neither an answer nor a failure yet. */
interface OpenCall {
  readonly callId: number;
  readonly method: string;
  readonly body: unknown;
  readonly settle: (answer: Result<unknown, Failure>) => void;
  isSent: boolean;
}

/** Calls one peer over one connection, and reconnects when it breaks. */
export class PeerLink {
  readonly #options: PeerLinkOptions;
  /** Calls by id; those that are not sent yet wait for a connection. */
  readonly #openCalls = new Map<number, OpenCall>();
  #socket: Socket | undefined;
  #nextCallId = 1;
  /**
   * Steady time at which the first call since the newest answer was sent
   * (ms); undefined when none was.
   */
  #unansweredSinceMs: number | undefined;

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
      this.#failSent();
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
  call(
    method: string,
    body: unknown,
    { timeoutMs, signal }: PeerCallOptions,
  ): Promise<Result<unknown, Failure>> {
    const { clock } = this.#options;
    const callId = this.#nextCallId;
    this.#nextCallId += 1;
    return new Promise((resolve) => {
      const settle = (answer: Result<unknown, Failure>) => {
        if (this.#openCalls.delete(callId)) {
          cancelTimer();
          signal?.removeEventListener("abort", giveUp);
          resolve(answer);
        }
      };
      const call: OpenCall = { callId, method, body, settle, isSent: false };
      const giveUp = () => {
        const reason = `no answer to ${method} in time`;
        settle(this.#createUnreachable(reason, call.isSent));
      };
      const cancelTimer = clock.startTimer(timeoutMs, () => {
        this.#closeSilentSocket(method);
        giveUp();
      });
      this.#openCalls.set(callId, call);
      if (signal?.aborted) {
        giveUp();
        return;
      }
      signal?.addEventListener("abort", giveUp, { once: true });
      this.#send(call);
    });
  }

  // Without a connection, the call is sent as soon as there is one.
  #send(call: OpenCall): void {
    const socket = this.#socket;
    if (socket === undefined) {
      return;
    }
    if (socket.writableLength > MAX_UNSENT_BYTES) {
      const reason = "the peer does not read its connection";
      call.settle(this.#createUnreachable(reason, false));
      return;
    }
    const { callId, method, body } = call;
    const frame = encodeFrame({ type: "call", callId, method, body });
    this.#options.metrics.countControlBytes("sent", frame.length);
    call.isSent = true;
    this.#unansweredSinceMs ??= this.#options.clock.steadyMs();
    socket.write(frame);
  }

  async #runConnection(socket: Socket): Promise<void> {
    const { entryId, secret, peer, metrics } = this.#options;
    const reader = new FrameReader(socket, MAX_HANDSHAKE_FRAME_BYTES);
    socket.setTimeout(HANDSHAKE_TIMEOUT_MS, () => socket.destroy());
    await connectHandshake({ entryId, secret, socket, reader }, peer.entryId);
    socket.setTimeout(0);
    reader.maxFrameBytes = MAX_FRAME_BYTES;
    this.#socket = socket;
    this.#unansweredSinceMs = undefined;
    for (const call of [...this.#openCalls.values()]) {
      this.#send(call);
    }
    for (;;) {
      const bytesReadBefore = socket.bytesRead;
      const message = await reader.read();
      if (message === undefined) {
        return;
      }
      metrics.countControlBytes("received", socket.bytesRead - bytesReadBefore);
      this.#unansweredSinceMs = undefined;
      const answer = v.parse(answerSchema, message);
      this.#openCalls.get(answer.callId)?.settle(
        answer.failure === undefined
          ? Result.ok(answer.value)
          : Result.err(answer.failure),
      );
    }
  }

  // A network partition can leave a dead connection open for minutes. The time
  // of a single call does not show that: a peer that is short of processor time
  // answers late, and a new connection would lose the answers to all calls.
  #closeSilentSocket(method: string): void {
    const { clock, logger, peer } = this.#options;
    const sinceMs = this.#unansweredSinceMs ?? Infinity;
    const silentMs = clock.steadyMs() - sinceMs;
    if (silentMs < PEER_SILENCE_MS) {
      return;
    }
    logger.info(
      {
        peerId: peer.entryId,
        method,
        silentMs: Math.round(silentMs),
        openCallCount: this.#openCalls.size,
      },
      "closing the connection to a peer that does not answer",
    );
    this.#socket?.destroy();
  }

  #failSent(): void {
    this.#socket = undefined;
    for (const call of [...this.#openCalls.values()]) {
      if (call.isSent) {
        call.settle(this.#createUnreachable("the connection was closed", true));
      }
    }
  }

  // With `isSent`, the peer may have handled the call although no answer came.
  #createUnreachable(reason: string, isSent: boolean): Result<never, Failure> {
    return Result.err(createFailure(
      "peerUnreachable",
      `entry ${this.#options.peer.entryId}: ${reason}`,
      { detail: { isSent } },
    ));
  }
}
