/** Cuts a leader off so that the next one needs all other reachable voters. */
import type { FakeCluster } from "./fake_cluster.ts";

const STEP_MS = 10;

/** What is left of a cluster whose leader was cut off. */
export interface CutCluster {
  readonly oldLeaderId: string;
  /** The voters that can still elect a leader. */
  readonly reachable: readonly string[];
  /** Returns the leader among them, if there is one. */
  readonly findLeader: () => string | undefined;
}

/**
 * Cuts the leader and some voters off from the others, and waits until these
 * have elected another leader.
 *
 * @param cluster - A cluster with a leader.
 * @param cutCount - Number of voters that are cut off beside the leader.
 * @returns The old leader and the other side.
 */
export async function cutLeaderOff(
  cluster: FakeCluster,
  cutCount: number,
): Promise<CutCluster> {
  const oldLeaderId = await cluster.waitForLeader();
  const others = cluster.entryIds.filter((id) => id !== oldLeaderId);
  const reachable = others.slice(cutCount);
  for (const cut of [oldLeaderId, ...others.slice(0, cutCount)]) {
    for (const other of reachable) {
      cluster.network.setFaults(cut, other, { cut: true });
      cluster.network.setFaults(other, cut, { cut: true });
    }
  }
  const findLeader = () =>
    cluster.listLeaders().find((id) => reachable.includes(id));
  while (findLeader() === undefined) {
    await cluster.clock.advance(STEP_MS);
  }
  return { oldLeaderId, reachable, findLeader };
}
