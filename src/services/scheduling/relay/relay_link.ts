/** The leader's side of one relay: requests on their way and their answers. */
import type {
  Clock,
  Logger,
  PeerNetwork,
  RunnerFailure,
} from "../../../ports/index.ts";
import { BatchSender } from "../../../tasks/index.ts";
import {
  RELAY_METHODS,
  type RelayedAnswer,
  type RelayedRequest,
} from "./relay_messages.ts";
import {
  MAX_RELAY_BATCH_COUNT,
  RELAY_CONFIRM_MS,
  RELAY_GATHER_MS,
  RELAY_PAUSE_MS,
  RELAY_PROOF_MS,
} from "./relay_timing.ts";

/** Options of {@link RelayLink}. */
export interface RelayLinkOptions {
  /** Id of the controller that relays. */
  readonly relayId: string;
  /** Names this process in the answers of the relay. */
  readonly sessionId: string;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called when the relay may no longer be used. */
  readonly onLost: () => void;
}

interface PendingRequest {
  /** Undefined once it has settled. */
  settle: ((answer: RelayedAnswer | undefined) => void) | undefined;
  /** Undefined once it has settled. */
  cancelTimer: (() => void) | undefined;
}

/** A request without its number, which the link sets. */
export type UnnumberedRequest = RelayedRequest extends infer Each
  ? Each extends RelayedRequest ? Omit<Each, "callId"> : never
  : never;

/** Sends requests through one relay and matches the answers. */
export class RelayLink {
  readonly #options: RelayLinkOptions;
  readonly #sender: BatchSender<RelayedRequest>;
  readonly #pending = new Map<number, PendingRequest>();
  #nextCallId = 1;
  /** Monotonic time of the newest message of the relay (ms). */
  #heardAtMs = -Infinity;
  /** Monotonic time until which the relay is not used (ms). */
  #pausedUntilMs = -Infinity;

  constructor(options: RelayLinkOptions) {
    this.#options = options;
    this.#sender = new BatchSender<RelayedRequest>({
      clock: options.clock,
      gatherMs: RELAY_GATHER_MS,
      maxCount: MAX_RELAY_BATCH_COUNT,
      send: (requests) => this.#send(requests),
    });
  }

  /** Id of the controller that relays. */
  get relayId(): string {
    return this.#options.relayId;
  }

  /** Whether the relay may be used. */
  get isUsable(): boolean {
    return this.#options.clock.monotonicMs() >= this.#pausedUntilMs;
  }

  /** Whether the relay may be used and was heard lately. */
  get isProven(): boolean {
    const { clock } = this.#options;
    return this.isUsable &&
      clock.monotonicMs() - this.#heardAtMs <= RELAY_PROOF_MS;
  }

  /**
   * Sends requests in batches until the signal aborts.
   *
   * @param signal - Ends the task.
   */
  run(signal: AbortSignal): Promise<void> {
    return this.#sender.run(signal);
  }

  /**
   * Sends a request without waiting for its answer.
   *
   * @param request - The request.
   * @returns The number of the request.
   */
  post(request: UnnumberedRequest): number {
    const callId = this.#nextCallId;
    this.#nextCallId += 1;
    this.#sender.push({ ...request, callId });
    return callId;
  }

  /**
   * Sends a request.
   *
   * @param request - The request.
   * @param timeoutMs - Time after which the answer counts as lost (ms).
   * @returns The answer; a failure without a refusal when it was lost, and
   * undefined when the relay was.
   */
  call(
    request: UnnumberedRequest,
    timeoutMs: number,
  ): Promise<RelayedAnswer | undefined> {
    const callId = this.post(request);
    return new Promise((settle) => {
      const cancelTimer = this.#options.clock.startTimer(
        timeoutMs,
        () => this.#timeOut(callId, timeoutMs),
      );
      this.#pending.set(callId, { settle, cancelTimer });
    });
  }

  /** Handles the answers of one message. */
  receive(answers: readonly RelayedAnswer[]): void {
    this.#heardAtMs = this.#options.clock.monotonicMs();
    for (const answer of answers) {
      this.#settle(answer.callId, answer);
    }
  }

  async #send(requests: readonly RelayedRequest[]): Promise<boolean> {
    const { clock, network, relayId, sessionId } = this.#options;
    const sent = await network.call(
      relayId,
      RELAY_METHODS.requests,
      { sessionId, sentAtMs: clock.steadyMs(), requests },
      { timeoutMs: RELAY_CONFIRM_MS },
    );
    if (sent.isErr) {
      this.#pause(sent.error.message);
    } else {
      this.#heardAtMs = clock.monotonicMs();
    }
    return sent.isOk;
  }

  // The relay may have carried out what it was sent, and may still do so.
  #pause(reason: string): void {
    const { clock, logger, onLost, relayId } = this.#options;
    logger.warn(
      { relayId, reason, pendingCount: this.#pending.size },
      "lost a relay of requests to runners",
    );
    this.#pausedUntilMs = clock.monotonicMs() + RELAY_PAUSE_MS;
    this.#sender.clear();
    onLost();
    for (const callId of [...this.#pending.keys()]) {
      this.#settle(callId, undefined);
    }
  }

  #timeOut(callId: number, timeoutMs: number): void {
    const { relayId } = this.#options;
    const message = `controller ${relayId}: no answer within ${timeoutMs} ms`;
    const failure: RunnerFailure = { message };
    this.#settle(callId, { callId, failure });
  }

  #settle(callId: number, answer: RelayedAnswer | undefined): void {
    const pending = this.#pending.get(callId);
    this.#pending.delete(callId);
    if (pending === undefined) {
      return;
    }
    const { settle, cancelTimer } = pending;
    // The map replaces its table every few hundred requests. Old tables keep the
    // entries of that moment until a full garbage collection, and with them all
    // that the entries refer to.
    pending.settle = undefined;
    pending.cancelTimer = undefined;
    cancelTimer?.();
    settle?.(answer);
  }
}
