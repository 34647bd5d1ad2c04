/** Says why a request got no permit in time. */
import { createFailure, type Failure } from "../../domain/index.ts";
import { type FleetIndex, listPoolZonesOut } from "../../decisions/index.ts";
import type { PermitRequest } from "../permits.ts";

const RETRY_AFTER_MS = 1_000;

/** What an entry knows when a request has waited in vain. */
export interface WaitFailureContext {
  readonly index: FleetIndex;
  /** Whether the coordinator has answered within the lease. */
  readonly isConnected: boolean;
  readonly takingOver: boolean;
  readonly limitedTeams: readonly string[];
  readonly unservedQueues: readonly string[];
}

/**
 * Creates the failure of a request that got no permit in time.
 *
 * @param request - The request.
 * @param context - What the entry knows.
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
      "the permit coordinator cannot be reached from this entry",
      { ...options, remedy: "try another entry" },
    );
  }
  if (takingOver) {
    return createFailure(
      "overloaded",
      "a new permit coordinator is still counting what runs",
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
        `no backend server of ${pools} is open; out of service: zone/${
          zones.join(", zone/")
        }`,
        options,
      )
      : createFailure(
        "noBackendServer",
        `no backend server of ${pools} is open`,
        options,
      );
  }
  return context.limitedTeams.includes(admission.teamName)
    ? createFailure(
      "teamLimitReached",
      `team/${admission.teamName} runs at its upper limit of ${admission.team?.maxRunningCount}`,
      options,
    )
    : createFailure("overloaded", `no slot of ${pools} became free`, options);
}
