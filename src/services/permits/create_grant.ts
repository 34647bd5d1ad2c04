/** Creates grants for free slots. */
import type { EntryWant } from "./entry_session.ts";
import type { FoundSlot } from "./grant_round.ts";
import { createPermitId } from "./permit_id.ts";
import type { PermitGrant } from "./permit_messages.ts";

/** Options of {@link createGrant}. */
export interface CreateGrantOptions {
  readonly coordinatorId: string;
  readonly permitNumber: number;
  /** The team's current limit; undefined without a limit. */
  readonly maxRunningCount: number | undefined;
}

/**
 * Creates a grant.
 *
 * @param want - Want that the grant is for.
 * @param found - The free slot and the run lease.
 * @param options - Coordinator, permit number and the team's limit.
 * @returns The grant, with the next grant number of the want's session.
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
