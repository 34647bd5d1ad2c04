/** Writes a grant for a place that has been found. */
import type { EntryWant } from "./entry_session.ts";
import type { FoundSlot } from "./grant_round.ts";
import { createPermitId } from "./permit_id.ts";
import type { PermitGrant } from "./permit_messages.ts";

/** Options of {@link createGrant}. */
export interface CreateGrantOptions {
  readonly coordinatorId: string;
  readonly permitNumber: number;
  /** The team's upper limit now; undefined without a limit. */
  readonly maxRunningCount: number | undefined;
}

/**
 * Creates a grant.
 *
 * @param want - Whom it is for.
 * @param found - The backend server and the run lease.
 * @param options - Number, coordinator and the team's limit.
 * @returns The grant, with the next number of the want's session.
 */
export function createGrant(
  want: EntryWant,
  found: FoundSlot,
  options: CreateGrantOptions,
): PermitGrant {
  const { session, team, queue } = want;
  const { announcement, zone } = found.slot;
  const { maxRunningCount } = options;
  return {
    grantNumber: session.nextGrantNumber,
    permitId: createPermitId({ team, ...options }),
    team,
    queue,
    pool: found.pool,
    zone,
    ...(maxRunningCount === undefined ? {} : { maxRunningCount }),
    backendServerId: announcement.backendServerId,
    backend: { ...announcement, running: [] },
    runLeaseMs: found.runLeaseMs,
  };
}
