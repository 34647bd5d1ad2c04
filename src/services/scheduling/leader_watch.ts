/** Monitors whether an entry reaches the leader. */
import { validateWith } from "../../domain/index.ts";
import type { Clock, Logger } from "../../ports/index.ts";
import type { LeaderClient } from "./leader_client.ts";
import { leaderPingSchema, SCHEDULING_METHODS } from "./scheduling_handlers.ts";
import { LEADER_ANSWER_MAX_AGE_MS, LEADER_PING_MS } from "./timing.ts";

/** Options of {@link LeaderWatch}. */
export interface LeaderWatchOptions {
  readonly leader: LeaderClient;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Pings the leader at an interval, records when it last answered, and updates
 * the controllers that the client tries.
 */
export class LeaderWatch {
  readonly #options: LeaderWatchOptions;
  #answeredAtMs = -Infinity;
  #hasCatalog = false;
  #isReached = false;

  constructor(options: LeaderWatchOptions) {
    this.#options = options;
  }

  /** Whether callers can be served: the leader answers and has a catalog. */
  get isReady(): boolean {
    const ageMs = this.#options.clock.monotonicMs() - this.#answeredAtMs;
    return this.#hasCatalog && ageMs < LEADER_ANSWER_MAX_AGE_MS;
  }

  /**
   * Pings the leader until the signal aborts.
   *
   * @param signal - Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      await this.#ping();
      await clock.sleep(LEADER_PING_MS, signal);
    }
  }

  async #ping(): Promise<void> {
    const { clock, leader, logger } = this.#options;
    const answered = await leader.call(
      SCHEDULING_METHODS.ping,
      {},
      LEADER_ANSWER_MAX_AGE_MS,
    );
    const ping = answered.andThen((body) =>
      validateWith(leaderPingSchema, body, { subject: "ping response" })
    );
    if (ping.isOk) {
      leader.updateControllers(ping.value.controllerIds);
      this.#answeredAtMs = clock.monotonicMs();
      this.#hasCatalog = ping.value.hasCatalog;
    }
    if (ping.isOk !== this.#isReached) {
      this.#isReached = ping.isOk;
      const { leaderId } = leader;
      const reason = ping.isErr ? ping.error.message : undefined;
      logger.info(
        { leaderId, reason },
        ping.isOk ? "reached the leader" : "lost the leader",
      );
    }
  }
}
