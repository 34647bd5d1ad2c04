/** Calls of a controller to the leader, which may be itself. */
import type { Result } from "true-myth";
import type { Failure } from "../../domain/index.ts";
import type { Agreement } from "../../ports/index.ts";
import type { LeaderClient } from "./leader_client.ts";
import type { SchedulingHandler } from "./scheduling_handlers.ts";

/** Calls whoever leads. */
export interface SchedulingClient {
  /** The controller that is thought to lead. */
  readonly leaderId: string | undefined;
  /**
   * Calls the leader.
   *
   * @param method - Name of the message.
   * @param body - Body of the message.
   * @param timeoutMs - Time for all attempts (ms).
   */
  call(
    method: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, Failure>>;
}

/** Options of {@link ControllerLeaderClient}. */
export interface ControllerLeaderClientOptions {
  readonly agreement: Agreement;
  readonly leader: LeaderClient;
  readonly handlers: ReadonlyMap<string, SchedulingHandler>;
}

/** Answers at once while this controller leads; else asks the leader. */
export class ControllerLeaderClient implements SchedulingClient {
  readonly #options: ControllerLeaderClientOptions;

  constructor(options: ControllerLeaderClientOptions) {
    this.#options = options;
  }

  get leaderId(): string | undefined {
    return this.#options.agreement.status().leaderId;
  }

  async call(
    method: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, Failure>> {
    const { agreement, handlers, leader } = this.#options;
    const status = agreement.status();
    const handler = handlers.get(method);
    if (status.leaderSinceMs !== undefined && handler !== undefined) {
      return await handler(body);
    }
    const isOther = status.leaderId !== status.entryId;
    leader.suggestLeader(isOther ? status.leaderId : undefined);
    return await leader.call(method, body, timeoutMs);
  }
}
