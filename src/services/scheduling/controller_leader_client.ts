/** Client of the leader for a controller, which may lead itself. */
import type { Result } from "true-myth";
import type { Failure } from "../../domain/index.ts";
import type { Agreement } from "../../ports/index.ts";
import type { LeaderCallOptions, LeaderClient } from "./leader_client.ts";
import type { SchedulingHandler } from "./scheduling_handlers.ts";

/** Calls the current leader. */
export interface SchedulingClient {
  /** The controller that leads, as far as this process knows. */
  readonly leaderId: string | undefined;
  /** Newest term that this process knows a leader of. */
  readonly leaderTerm: number;
  /**
   * Calls the leader.
   *
   * @param method - Name of the message.
   * @param body - Body of the message.
   * @param timeoutMs - Time for all attempts (ms).
   * @param options - Whether the call is a read, and how it tells its wait.
   * @returns The leader's answer or failure; `notLeader` when no leader can
   * have handled the call, `noQuorum` when one may have.
   */
  call(
    method: string,
    body: unknown,
    timeoutMs: number,
    options?: LeaderCallOptions,
  ): Promise<Result<unknown, Failure>>;
}

/** Options of {@link ControllerLeaderClient}. */
export interface ControllerLeaderClientOptions {
  readonly agreement: Agreement;
  readonly leader: LeaderClient;
  /** Handlers by method, which answer while this controller leads. */
  readonly handlers: ReadonlyMap<string, SchedulingHandler>;
}

/** Handles calls locally while this controller leads; else calls the leader. */
export class ControllerLeaderClient implements SchedulingClient {
  readonly #options: ControllerLeaderClientOptions;

  constructor(options: ControllerLeaderClientOptions) {
    this.#options = options;
  }

  get leaderId(): string | undefined {
    return this.#options.agreement.status().leaderId;
  }

  get leaderTerm(): number {
    return this.#options.agreement.status().term;
  }

  async call(
    method: string,
    body: unknown,
    timeoutMs: number,
    options: LeaderCallOptions = {},
  ): Promise<Result<unknown, Failure>> {
    const { agreement, handlers, leader } = this.#options;
    const status = agreement.status();
    const handler = handlers.get(method);
    const isNewest = status.leaderSinceMs !== undefined &&
      status.term >= leader.leaderTerm;
    if (isNewest && handler !== undefined) {
      return await handler(body);
    }
    const isOther = status.leaderId !== status.entryId;
    leader.suggestLeader(isOther ? status.leaderId : undefined);
    return await leader.call(method, body, timeoutMs, options);
  }
}
