/** Failures of requests that got no permit in time. */
import { createFailure, type Failure } from "../../domain/index.ts";
import { type FleetIndex, listPoolZonesOut } from "../../decisions/index.ts";
import type { PermitRequest } from "../permits.ts";

const RETRY_AFTER_MS = 1_000;

/** State of the entry at the time when a request stops waiting. */
export interface WaitFailureContext {
  readonly index: FleetIndex;
  /** Whether the entry's lease from the coordinator is valid. */
  readonly isConnected: boolean;
  /** Whether a new coordinator is still finding out what runs. */
  readonly takingOver: boolean;
  /** Teams that have reached their limits. */
  readonly limitedTeams: readonly string[];
  /** Queues for which no backend server accepts work. */
  readonly unservedQueues: readonly string[];
}

/**
 * Creates the failure of a request that got no permit in time.
 *
 * @param request - The request.
 * @param context - State of the entry.
 * @returns `zoneOut`, `noBackendServer`, `teamLimitReached` or `overloaded`.
 */
export function createWaitFailure(
  request: PermitRequest,
  context: WaitFailureContext,
): Failure {
  const { admission } = request;
  const { index, isConnected, takingOver } = context;
  const options = { retryAfterMs: RETRY_AFTER_MS };
  if (!isConnected) {
    return createFailure(
      "overloaded",
      "this entry cannot reach the permit coordinator",
      { ...options, remedy: "try another entry" },
    );
  }
  if (takingOver) {
    return createFailure(
      "overloaded",
      "a new permit coordinator is still counting the running attempts",
      options,
    );
  }
  const pools = admission.poolNames.join(", ");
  if (context.unservedQueues.includes(admission.queue.name)) {
    const zones = listPoolZonesOut(index, admission.poolNames)
      .map(({ zone }) => zone.resource.name);
    return zones.length > 0
      ? createFailure(
        "zoneOut",
        `no backend server accepts work (pools: ${pools}); out of service: zone/${
          zones.join(", zone/")
        }`,
        options,
      )
      : createFailure(
        "noBackendServer",
        `no backend server accepts work (pools: ${pools})`,
        options,
      );
  }
  return context.limitedTeams.includes(admission.teamName)
    ? createFailure(
      "teamLimitReached",
      `team/${admission.teamName} has reached its limit of ${admission.team?.maxRunningCount}`,
      options,
    )
    : createFailure(
      "overloaded",
      `no slot became free in time (pools: ${pools})`,
      options,
    );
}
