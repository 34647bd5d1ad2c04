/** A member of a gang that saves its progress loses its runner. */
import {
  controlAddresses,
  isTroubled,
  MANIFEST,
  Runner,
  runCase,
  Site,
  sleep,
} from "../lib-3/site.mjs";

const FOLDER = new URL(".", import.meta.url).pathname;
const JOB_ID = "00000000000000c1";
const RUNNER_COUNT = 8;
const MEMBER_COUNT = 4;
const GANG_WORK_MS = 9_000;
const GANG_WAIT_MS = 3_000;
/** `checkpoint_s` of the deployment. */
const CHECKPOINT_MS = 2_000;
const DOWN_MS = 1_000;

await runCase(FOLDER, async (record, atEnd) => {
  const site = new Site(record);
  atEnd(() => site.stop());
  await site.start();
  await site.replaceManifest(MANIFEST);
  await site.waitReady();

  const runners = [];
  const starts = [];
  // Progress of the gang that each checkpoint stands for (ms).
  const savedMs = new Map([["", 0]]);
  const listMembers = (runId) =>
    runners.flatMap((owner) =>
      [...owner.running.values()].filter((other) => other.runId === runId)
        .map((other) => ({ owner, other }))
    );
  const findWorkedMs = (members) =>
    Date.now() - Math.max(...members.map(({ other }) => other.sinceMs)) +
    savedMs.get(members[0].other.checkpoint);
  const save = (workedMs) => {
    const value = Math.round(workedMs).toString(16).padStart(16, "0");
    savedMs.set(value, workedMs);
    return value;
  };
  const advance = (runner, run) => {
    const members = listMembers(run.runId);
    if (members.length < MEMBER_COUNT) {
      if (run.hasWorked) {
        runner.endRun(run, "broken", run.saved);
      } else if (Date.now() - run.sinceMs >= GANG_WAIT_MS) {
        runner.endRun(run, "alone", run.checkpoint);
      }
      return;
    }
    const workedMs = findWorkedMs(members);
    const stage = Math.floor(workedMs / CHECKPOINT_MS);
    for (const { other } of members) {
      other.hasWorked = true;
      // One value for the gang, produced by all members at the same time.
      if (stage > (other.stage ?? 0)) {
        other.stage = stage;
        other.saved = save(stage * CHECKPOINT_MS);
      }
    }
    if (workedMs >= GANG_WORK_MS) {
      members.forEach(({ owner, other }) => owner.endRun(other, "done", other.saved));
    }
  };
  for (let at = 0; at < RUNNER_COUNT; at += 1) {
    const runner = new Runner(record, {
      id: `i-${at}`,
      host: site.host(100 + at),
      controls: controlAddresses(site),
      rack: `r1-${Math.floor(at / 4)}`,
      gang: advance,
      onStart: (run) => starts.push(run),
      percent: (run) =>
        Math.min(99, Math.floor(100 * (Date.now() - run.sinceMs) / GANG_WORK_MS)),
    });
    runners.push(runner);
    atEnd(() => runner.close());
    await runner.start();
  }
  await sleep(1_000);
  const submitted = await site.client(0, "POST", `/captures/${JOB_ID}`, {
    spec: "gang",
    phases: [{
      count: MEMBER_COUNT,
      cpu: 3_000,
      mem_mb: 64,
      gang: true,
      checkpointing: true,
      anti_affinity: 1,
      estimate_ms: GANG_WORK_MS,
    }],
  });
  record.add(`submitted ${JOB_ID}: ${submitted.status}`);
  if (submitted.status !== 200) {
    throw new Error("the job was not accepted");
  }
  const owners = () => runners.filter(({ running }) => running.size > 0);
  while (owners().length < MEMBER_COUNT) {
    await sleep(10);
  }
  if (isTroubled) {
    await sleep(2 * CHECKPOINT_MS + 700);
    const [crashing] = owners();
    await crashing.crash();
    await sleep(DOWN_MS);
    await crashing.restart();
  }

  const deadlineMs = Date.now() + 40_000;
  let state;
  while (Date.now() < deadlineMs && state !== "completed") {
    await sleep(500);
    state = (await site.client(1, "GET", `/captures/${JOB_ID}`)).value?.state;
  }
  record.add(`state of ${JOB_ID}: ${state}`);
  const valuesByRun = new Map();
  for (const { runId, checkpoint } of starts) {
    valuesByRun.set(runId, [...valuesByRun.get(runId) ?? [], checkpoint]);
  }
  let isBroken = false;
  for (const [runId, values] of valuesByRun) {
    const shown = values.map((value) => value === "" ? "(none)" : value);
    record.add(`run ${runId} was started with the checkpoints ${shown.join(", ")}`);
    isBroken ||= new Set(values).size > 1;
  }
  return isBroken;
});
