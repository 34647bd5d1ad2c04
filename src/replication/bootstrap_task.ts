/** Bootstraps a new deployment by writing its first membership exactly once. */
import { type Member, validateWith } from "../domain/index.ts";
import { announceLeader, createLeaderCommand } from "./election_task.ts";
import { METHODS, probeResponseSchema } from "./messages.ts";
import type { ReplicaCore } from "./replica_core.ts";
import {
  BOOTSTRAP_INTERVAL_MS,
  CALL_TIMEOUT_MS,
  FIRST_TERM,
} from "./timing.ts";

/**
 * Writes the first membership if this entry is the one responsible for it.
 *
 * Only the initial voter with the smallest id that may bootstrap the deployment
 * does, and only while every initial voter reports an empty data folder. An entry
 * that lost its disk therefore never starts a second log next to the existing
 * one. An entry that has ended during the first start may no longer bootstrap, so
 * that the next one does once it is back.
 *
 * @param core - The state of the replica.
 * @param signal - Stops the task.
 */
export async function startDeployment(
  core: ReplicaCore,
  signal: AbortSignal,
): Promise<void> {
  const { clock, initialVoterIds, hasDisk } = core.options;
  const isInitialVoter = initialVoterIds.includes(core.self.entryId);
  if (!isInitialVoter || !hasDisk || !core.mayBootstrap) {
    return;
  }
  while (!signal.aborted && core.isBlank) {
    const blank = await probeVoters(core);
    const first = blank.find(({ mayBootstrap }) => mayBootstrap);
    const isResponsible = blank.length === initialVoterIds.length &&
      first?.entryId === core.self.entryId;
    if (isResponsible) {
      const voters = blank.map(({ entryId, storeId }) => ({
        entryId,
        storeId,
      }));
      await writeFirstMembership(core, voters);
      announceLeader(core);
    }
    await clock.sleep(BOOTSTRAP_INTERVAL_MS, signal);
  }
}

/** An initial voter whose data folder is empty. */
interface BlankVoter extends Member {
  readonly mayBootstrap: boolean;
}

/** Lists the initial voters that report an empty data folder, sorted by id. */
async function probeVoters(core: ReplicaCore): Promise<BlankVoter[]> {
  const { initialVoterIds } = core.options;
  const probed = await Promise.all(
    initialVoterIds.toSorted().map((entryId) => probeVoter(core, entryId)),
  );
  return probed.filter((voter) => voter !== undefined);
}

async function probeVoter(
  core: ReplicaCore,
  entryId: string,
): Promise<BlankVoter | undefined> {
  if (entryId === core.self.entryId) {
    return { ...core.self, mayBootstrap: core.mayBootstrap };
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
  if (response.isErr || !response.value.isBlank) {
    return undefined;
  }
  const { mayBootstrap, storeId } = response.value;
  return { entryId, storeId, mayBootstrap };
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
