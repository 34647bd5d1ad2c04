/**
 * Ids of permits and attempts. They contain the team and the coordinator, so
 * that a new coordinator can read from an announcement which team runs which
 * attempt.
 */

/** Parts of a permit id. */
export interface PermitIdParts {
  readonly team: string;
  /** Id that is new each time an entry becomes coordinator. */
  readonly coordinatorId: string;
  readonly permitNumber: number;
}

/** Parts of an attempt id. */
export interface AttemptIdParts extends PermitIdParts {
  readonly permitId: string;
  /** Number of attempts under the permit so far, including this one. */
  readonly attemptCount: number;
}

const ATTEMPT_ID_PATTERN = /^([a-z0-9._-]+):([a-z0-9.]+)-([0-9]+):([0-9]+)$/;

/**
 * Creates a permit id.
 *
 * @param parts - Team, coordinator and number.
 * @returns The id, which is a valid HTTP header value.
 */
export function createPermitId(parts: PermitIdParts): string {
  return `${parts.team}:${parts.coordinatorId}-${parts.permitNumber}`;
}

/**
 * Creates an attempt id.
 *
 * @param permitId - Permit under which the attempt runs.
 * @param attemptCount - Number of attempts so far, including this one.
 * @returns The id, which is a valid HTTP header value.
 */
export function createAttemptId(
  permitId: string,
  attemptCount: number,
): string {
  return `${permitId}:${attemptCount}`;
}

/**
 * Parses an attempt id.
 *
 * @param attemptId - Attempt id from an announcement of a backend server.
 * @returns Its parts, or undefined when a coordinator did not create it.
 */
export function parseAttemptId(attemptId: string): AttemptIdParts | undefined {
  const match = ATTEMPT_ID_PATTERN.exec(attemptId);
  if (match === null) {
    return undefined;
  }
  const [, team = "", coordinatorId = "", permitNumber, attemptCount] = match;
  return {
    team,
    coordinatorId,
    permitNumber: Number(permitNumber),
    permitId: attemptId.slice(0, attemptId.lastIndexOf(":")),
    attemptCount: Number(attemptCount),
  };
}
