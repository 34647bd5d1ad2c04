/**
 * Ids of permits and attempts. They name team and coordinator, so that a new
 * coordinator can tell from an announcement alone what runs for whom.
 */

/** Parts of a permit id. */
export interface PermitIdParts {
  readonly team: string;
  /** Differs for each time that an entry becomes coordinator. */
  readonly coordinatorId: string;
  readonly permitNumber: number;
}

/** Parts of an attempt id. */
export interface AttemptIdParts extends PermitIdParts {
  readonly permitId: string;
  /** Attempts under the permit so far, this one included. */
  readonly attemptCount: number;
}

const ATTEMPT_ID_PATTERN = /^([a-z0-9._-]+):([a-z0-9.]+)-([0-9]+):([0-9]+)$/;

/**
 * Creates a permit id.
 *
 * @param parts - Team, coordinator and number.
 * @returns The id; it fits into an HTTP header.
 */
export function createPermitId(parts: PermitIdParts): string {
  return `${parts.team}:${parts.coordinatorId}-${parts.permitNumber}`;
}

/**
 * Creates an attempt id.
 *
 * @param permitId - The permit that the attempt runs under.
 * @param attemptCount - Attempts under it so far, this one included.
 * @returns The id; it fits into an HTTP header.
 */
export function createAttemptId(
  permitId: string,
  attemptCount: number,
): string {
  return `${permitId}:${attemptCount}`;
}

/**
 * Reads an attempt id.
 *
 * @param attemptId - As announced by a backend server.
 * @returns Its parts, or undefined when no coordinator made it.
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
