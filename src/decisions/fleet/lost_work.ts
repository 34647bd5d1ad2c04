/** Work that a change of configuration would no longer allow. */
import type { FleetState, Queue, Team } from "../../domain/index.ts";
import { FleetIndex } from "./fleet_index.ts";

/** A team and queue whose work is no longer allowed, and why. */
export interface LostWork {
  readonly team: string;
  readonly queue: string;
  readonly reason: string;
}

/**
 * Finds the work that one state allows and another does not.
 *
 * @param before - The state in force.
 * @param after - The state after a change.
 * @returns Pairs of team and queue, each with what is missing then.
 */
export function findLostWork(
  before: FleetState,
  after: FleetState,
): LostWork[] {
  const indexBefore = new FleetIndex(before);
  const indexAfter = new FleetIndex(after);
  const poolsBefore = listOpenPools(indexBefore);
  const poolsAfter = listOpenPools(indexAfter);
  const lost: LostWork[] = [];
  for (const { resource: team } of before.list("team")) {
    for (const { resource: queue } of before.list("queue")) {
      const wasAllowed =
        findObstacle(indexBefore, poolsBefore, team, queue) === undefined;
      const reason = wasAllowed
        ? findObstacle(
          indexAfter,
          poolsAfter,
          indexAfter.findTeam(team.name)?.resource,
          indexAfter.findQueue(queue.name)?.resource,
        )
        : undefined;
      if (reason !== undefined) {
        lost.push({ team: team.name, queue: queue.name, reason });
      }
    }
  }
  return lost;
}

function findObstacle(
  index: FleetIndex,
  openPools: ReadonlySet<string>,
  team: Team | undefined,
  queue: Queue | undefined,
): string | undefined {
  if (team === undefined || queue === undefined) {
    return "the team or the queue is deleted";
  }
  if (!queue.openToAll && index.findBinding(team, queue) === undefined) {
    return "no binding lets the team use the queue";
  }
  if (team.maxRunningCount === 0) {
    return "the team's upper limit is 0";
  }
  const pools = index.listPools(queue);
  if (pools.length === 0) {
    return "no pool matches the queue's selector";
  }
  const hasVm = pools.some(({ resource }) => openPools.has(resource.name));
  return hasVm ? undefined : "no VM of the queue's pools is in service";
}

function listOpenPools(index: FleetIndex): ReadonlySet<string> {
  const open = new Set<string>();
  for (const { vm, pool, serving } of index.listVms()) {
    const isOut = index.findZoneOut(vm.resource.zone) !== undefined;
    if (pool !== undefined && serving && !isOut) {
      open.add(pool);
    }
  }
  return open;
}
