/** Refusals of admitted requests, with the limit that caused each. */
import {
  createFailure,
  type DecisionCause,
  type Failure,
} from "../../domain/index.ts";
import {
  type Admission,
  createCause,
  type FleetIndex,
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
  const limit = findLimitCause(failure, admission, index);
  return {
    failure,
    teamName: admission.teamName,
    subjects: [`queue/${admission.queue.name}`, `team/${admission.teamName}`],
    causes: limit === undefined
      ? admission.causes
      : [limit, ...admission.causes],
    rejected: admission.poolNames.map((pool) => `pool/${pool}`),
  };
}

function findLimitCause(
  failure: Failure,
  admission: Admission,
  index: FleetIndex,
): DecisionCause | undefined {
  if (failure.kind === "teamLimitReached") {
    const team = index.findTeam(admission.teamName);
    return team === undefined ? undefined : createCause(
      team,
      "maxRunningCount",
      String(team.resource.maxRunningCount),
    );
  }
  if (failure.kind === "overloaded") {
    const queue = index.findQueue(admission.queue.name);
    return queue === undefined
      ? undefined
      : createCause(queue, "maxWaitMs", String(queue.resource.maxWaitMs));
  }
  return undefined;
}
