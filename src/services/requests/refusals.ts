/** Creates refusals of requests, each with the limit that caused it. */
import {
  createFailure,
  type DecisionCause,
  type Failure,
} from "../../domain/index.ts";
import {
  type Admission,
  createCause,
  createZoneOutCause,
  type FleetIndex,
  listPoolZonesOut,
  type Refusal,
} from "../../decisions/index.ts";

const STALE_RETRY_AFTER_MS = 1_000;

/**
 * Creates the refusal of an entry whose freshness lease has expired because it
 * is cut off from the other entries.
 *
 * @returns The refusal. It names no team because the keys may be outdated.
 */
export function createStaleRefusal(): Refusal {
  return {
    failure: createFailure(
      "staleConfiguration",
      "this entry cannot confirm that its configuration is current",
      { retryAfterMs: STALE_RETRY_AFTER_MS, remedy: "try another entry" },
    ),
    teamName: "",
    subjects: [],
    causes: [],
    rejected: [],
  };
}

/**
 * Creates the refusal of an admitted request.
 *
 * @param failure - Why the request does not run.
 * @param admission - Team, queue and pools of the request.
 * @param index - The current configuration.
 * @returns The refusal, with the limit among its causes.
 */
export function createRunRefusal(
  failure: Failure,
  admission: Admission,
  index: FleetIndex,
): Refusal {
  return {
    failure,
    teamName: admission.teamName,
    subjects: [`queue/${admission.queue.name}`, `team/${admission.teamName}`],
    causes: [...listCauses(failure, admission, index), ...admission.causes],
    rejected: admission.poolNames.map((pool) => `pool/${pool}`),
  };
}

function listCauses(
  failure: Failure,
  admission: Admission,
  index: FleetIndex,
): DecisionCause[] {
  switch (failure.kind) {
    case "teamLimitReached": {
      const team = index.findTeam(admission.teamName);
      const limit = String(team?.resource.maxRunningCount);
      return team === undefined
        ? []
        : [createCause(team, "maxRunningCount", limit)];
    }
    case "overloaded": {
      const queue = index.findQueue(admission.queue.name);
      const limit = String(queue?.resource.maxWaitMs);
      return queue === undefined
        ? []
        : [createCause(queue, "maxWaitMs", limit)];
    }
    case "zoneOut":
      return listPoolZonesOut(index, admission.poolNames)
        .map(createZoneOutCause);
    default:
      return [];
  }
}
