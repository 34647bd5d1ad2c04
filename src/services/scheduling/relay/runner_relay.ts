/** A controller's service that sends requests to runners for the leader. */
import { Result } from "true-myth";
import {
  createFailure,
  type Failure,
  validateWith,
} from "../../../domain/index.ts";
import type {
  Clock,
  EventLoopDelays,
  Logger,
  PeerNetwork,
  RunnerAnswer,
  RunnerClient,
  RunnerFailure,
} from "../../../ports/index.ts";
import { BatchSender, type TaskGroup } from "../../../tasks/index.ts";
import { MessageDelays } from "./message_delays.ts";
import {
  packFailure,
  packReport,
  RELAY_METHODS,
  type RelayedAnswer,
  type RelayedRequest,
  relayedRequestsSchema,
} from "./relay_messages.ts";
import {
  MAX_RELAY_BATCH_COUNT,
  RELAY_CONFIRM_MS,
  RELAY_GATHER_MS,
} from "./relay_timing.ts";

/** Options of {@link RunnerRelay}. */
export interface RunnerRelayOptions {
  readonly network: PeerNetwork;
  readonly client: RunnerClient;
  readonly clock: Clock;
  readonly eventLoop: EventLoopDelays;
  readonly logger: Logger;
  readonly tasks: TaskGroup;
}

const LATE_MESSAGE =
  "the requests may have waited for longer than their sender did";
const ENDED_MESSAGE = "the process that sent the requests has ended";
/** Number of ended sessions of a peer that are remembered. */
const MAX_ENDED_COUNT = 16;

interface Session {
  readonly sessionId: string;
  readonly sender: BatchSender<RelayedAnswer>;
  readonly delays: MessageDelays;
  /** Ends the task that sends the answers. */
  readonly stop: AbortController;
}

/** Carries out the requests of other controllers and returns the answers. */
export class RunnerRelay {
  readonly #options: RunnerRelayOptions;
  /** Newest session of each peer. */
  readonly #sessions = new Map<string, Session>();
  /** Ids of the sessions before that, the newest first, by peer. */
  readonly #endedSessionIds = new Map<string, readonly string[]>();

  constructor(options: RunnerRelayOptions) {
    this.#options = options;
    options.network.handle(
      RELAY_METHODS.requests,
      (peerId, body) => Promise.resolve(this.#accept(peerId, body)),
    );
  }

  // Messages that waited while the process was suspended are those that their
  // sender has given up. Meanwhile a runner may have started again, for which
  // they are not meant.
  get #wasSuspended(): boolean {
    const { clock, eventLoop } = this.#options;
    const sinceMs = clock.monotonicMs() - 2 * RELAY_CONFIRM_MS;
    return eventLoop.findLongestDelayMs(sinceMs) >= RELAY_CONFIRM_MS;
  }

  // The answers follow in messages of their own, because a poll may wait long.
  #accept(peerId: string, body: unknown): Result<unknown, Failure> {
    const checked = validateWith(relayedRequestsSchema, body, {
      subject: "relayed requests",
    });
    if (checked.isErr) {
      return Result.err(checked.error);
    }
    const { sessionId, requests, sentAtMs } = checked.value;
    if (this.#endedSessionIds.get(peerId)?.includes(sessionId)) {
      return Result.err(createFailure("peerUnreachable", ENDED_MESSAGE));
    }
    const { delays, sender } = this.#findSession(peerId, sessionId);
    const arrivedAtMs = this.#options.clock.steadyMs();
    const delayMs = delays.record(sentAtMs ?? arrivedAtMs, arrivedAtMs);
    if (this.#wasSuspended || delayMs > RELAY_CONFIRM_MS) {
      return Result.err(createFailure("peerUnreachable", LATE_MESSAGE));
    }
    for (const relayed of requests) {
      this.#options.tasks.start("relayed request", async () => {
        const answer = await this.#carryOut(relayed);
        if (answer !== undefined) {
          sender.push(answer);
        }
      });
    }
    return Result.ok({});
  }

  async #carryOut(
    relayed: RelayedRequest,
  ): Promise<RelayedAnswer | undefined> {
    const { client } = this.#options;
    const { callId, runner } = relayed;
    switch (relayed.kind) {
      case "start":
        return pack(callId, await client.start(runner, relayed.request));
      case "stop":
        return pack(
          callId,
          await client.stop(runner, relayed.request, relayed.fencingToken),
        );
      case "pace":
        return pack(
          callId,
          await client.pace(runner, relayed.request, relayed.fencingToken),
        );
      case "poll": {
        const polled = await client.poll(runner, relayed.request);
        return polled.isOk
          ? packReport(callId, polled.value)
          : packFailure(callId, polled.error);
      }
      case "disconnect":
        client.disconnect(runner);
        return undefined;
    }
  }

  // A process that has started again gets no answers to earlier requests.
  #findSession(peerId: string, sessionId: string): Session {
    const known = this.#sessions.get(peerId);
    if (known?.sessionId === sessionId) {
      return known;
    }
    if (known !== undefined) {
      this.#end(peerId, known);
    }
    const { clock, tasks } = this.#options;
    const stop = new AbortController();
    const sender = new BatchSender<RelayedAnswer>({
      clock,
      gatherMs: RELAY_GATHER_MS,
      maxCount: MAX_RELAY_BATCH_COUNT,
      send: (answers) => this.#send(peerId, { sessionId, answers }),
    });
    const session = { sessionId, sender, stop, delays: new MessageDelays() };
    this.#sessions.set(peerId, session);
    tasks.start(
      `answers to ${peerId}`,
      (signal) => sender.run(AbortSignal.any([signal, stop.signal])),
    );
    return session;
  }

  // What an ended process has sent may arrive after messages of the next one.
  #end(peerId: string, { sessionId, stop }: Session): void {
    stop.abort();
    const earlierIds = this.#endedSessionIds.get(peerId) ?? [];
    this.#endedSessionIds.set(
      peerId,
      [sessionId, ...earlierIds].slice(0, MAX_ENDED_COUNT),
    );
  }

  async #send(peerId: string, body: unknown): Promise<boolean> {
    const { logger, network } = this.#options;
    const sent = await network.call(peerId, RELAY_METHODS.answers, body, {
      timeoutMs: RELAY_CONFIRM_MS,
    });
    if (sent.isErr) {
      logger.warn(
        { peerId, failure: sent.error },
        "answers of runners may not have reached the leader",
      );
    }
    return sent.isOk;
  }
}

function pack(
  callId: number,
  answer: Result<RunnerAnswer, RunnerFailure>,
): RelayedAnswer {
  return answer.isOk
    ? { callId, clockMs: answer.value.clockMs }
    : packFailure(callId, answer.error);
}
