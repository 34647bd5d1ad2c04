/** Bootstraps a new deployment by writing its first membership exactly once. */
import { type Member, validateWith } from "../domain/index.ts";
import { announceLeader, createLeaderCommand } from "./election_task.ts";
import { METHODS, probeResponseSchema } from "./messages.ts";
import type { ReplicaCore } from "./replica_core.ts";
import { BOOTSTRAP_INTERVAL_MS, CALL_TIMEOUT_MS } from "./timing.ts";

const FIRST_TERM = 1;

/**
 * Writes the first membership if this entry is the one responsible for it.
 *
 * Only the initial voter with the smallest id bootstraps the deployment, and
 * only while every initial voter reports an empty data folder. An entry that
 * lost its disk therefore never starts a second log next to the existing one.
 *
 * @param core - The state of the replica.
 * @param signal - Stops the task.
 */
export async function startDeployment(
  core: ReplicaCore,
  signal: AbortSignal,
): Promise<void> {
  const { clock, initialVoterIds, hasDisk, mayBootstrap } = core.options;
  const firstId = initialVoterIds.toSorted()[0];
  if (firstId !== core.self.entryId || !hasDisk || mayBootstrap === false) {
    return;
  }
  while (!signal.aborted && core.isBlank) {
    const voters = await probeVoters(core);
    if (voters.length === initialVoterIds.length) {
      await writeFirstMembership(core, voters);
      announceLeader(core);
    }
    await clock.sleep(BOOTSTRAP_INTERVAL_MS, signal);
  }
}

async function probeVoters(core: ReplicaCore): Promise<Member[]> {
  const { initialVoterIds } = core.options;
  const probed = await Promise.all(
    initialVoterIds.map((entryId) => probeVoter(core, entryId)),
  );
  return probed.filter((member) => member !== undefined);
}

async function probeVoter(
  core: ReplicaCore,
  entryId: string,
): Promise<Member | undefined> {
  if (entryId === core.self.entryId) {
    return core.self;
  }
  const reply = await core.options.network.call(
    entryId,
    METHODS.probe,
    {},
    { timeoutMs: CALL_TIMEOUT_MS },
  );
  const response = reply.andThen((body) =>
    validateWith(probeResponseSchema, body, { subject: "probe response" })
  );
  return response.isOk && response.value.isBlank
    ? { entryId, storeId: response.value.storeId }
    : undefined;
}

async function writeFirstMembership(
  core: ReplicaCore,
  voters: readonly Member[],
): Promise<void> {
  await core.mutex.run(async () => {
    if (!core.isBlank) {
      return;
    }
    const vote = { term: FIRST_TERM, votedFor: core.self.entryId };
    const saved = await core.saveVote(vote);
    if (saved.isOk) {
      core.term = vote.term;
      core.votedFor = vote.votedFor;
      const membership = { voters: [...voters], learners: [] };
      await core.becomeLeader([
        { type: "membership", ...membership },
        createLeaderCommand(core),
      ]);
      if (core.leadership === undefined) {
        // The disk took the vote but not the log: the folder is blank again.
        core.term = 0;
        core.votedFor = undefined;
      }
    }
  });
}
