/** Starts a new deployment: the first membership, written exactly once. */
import { type Member, validateWith } from "../domain/index.ts";
import { announceLeader, createLeaderCommand } from "./election_task.ts";
import { METHODS, probeResponseSchema } from "./messages.ts";
import type { ReplicaCore } from "./replica_core.ts";
import { BOOTSTRAP_INTERVAL_MS, CALL_TIMEOUT_MS } from "./timing.ts";

const FIRST_TERM = 1;

/**
 * Writes the first membership when this entry is the one that has to.
 *
 * Only the first of the initial voters does it, and only while every one of
 * them reports an empty data folder. An entry that lost its disk therefore
 * never starts a second log beside that of the others.
 *
 * @param core - The replica.
 * @param signal - Ends the task.
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
      return;
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
    validateWith(probeResponseSchema, body, { subject: "answer to a probe" })
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
    core.term = FIRST_TERM;
    core.votedFor = core.self.entryId;
    const saved = await core.saveVote();
    if (saved.isOk) {
      const membership = { voters: [...voters], learners: [] };
      await core.becomeLeader([
        { type: "membership", ...membership },
        createLeaderCommand(core),
      ]);
    }
  });
}
