/** Refusals of admitted requests, with the limit that caused each. */
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
 * Creates the refusal of an entry that is cut off from the others.
 *
 * @returns The refusal; it names no team, since no key can be trusted.
 */
export function createStaleRefusal(): Refusal {
  return {
    failure: createFailure(
      "staleConfiguration",
      "this entry cannot vouch for its configuration",
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
 * @param failure - Why it does not run.
 * @param admission - Team, queue and pools.
 * @param index - The configuration in force.
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
