/** Finds work that a change of the configuration would no longer allow. */
import type { FleetState, Queue, Team } from "../../domain/index.ts";
import { FleetIndex } from "./fleet_index.ts";

// Temporary, unlike the obstacles that labels and limits cause: zones return,
// and moves and reboots of VMs end. Work that only this obstacle blocks counts
// as allowed before the change.
const OUT_OF_SERVICE = "no VM of the queue's pools is in service";

/** A team that could no longer use a queue, and why. */
export interface LostWork {
  readonly team: string;
  readonly queue: string;
  readonly reason: string;
}

/**
 * Finds the work that is allowed before a change and not after it.
 *
 * @param before - The state in force.
 * @param after - The state after a change.
 * @returns Pairs of team and queue, each with the new obstacle.
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
      const known = listObstacles(indexBefore, poolsBefore, team, queue);
      const reason = listObstacles(
        indexAfter,
        poolsAfter,
        indexAfter.findTeam(team.name)?.resource,
        indexAfter.findQueue(queue.name)?.resource,
      ).find((obstacle) => !known.includes(obstacle));
      const wasAllowed = known.every((obstacle) => obstacle === OUT_OF_SERVICE);
      if (wasAllowed && reason !== undefined) {
        lost.push({ team: team.name, queue: queue.name, reason });
      }
    }
  }
  return lost;
}

// Lists all obstacles, so that a zone that is out now does not hide a binding
// that the change removes.
function listObstacles(
  index: FleetIndex,
  openPools: ReadonlySet<string>,
  team: Team | undefined,
  queue: Queue | undefined,
): string[] {
  if (team === undefined || queue === undefined) {
    return ["the team or the queue is deleted"];
  }
  const obstacles: string[] = [];
  if (!queue.openToAll && index.findBinding(team, queue) === undefined) {
    obstacles.push("no binding lets the team use the queue");
  }
  if (team.maxRunningCount === 0) {
    obstacles.push("the team's upper limit is 0");
  }
  const pools = index.listPools(queue);
  if (pools.length === 0) {
    obstacles.push("no pool matches the queue's selector");
  } else if (!pools.some(({ resource }) => openPools.has(resource.name))) {
    obstacles.push(OUT_OF_SERVICE);
  }
  return obstacles;
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
