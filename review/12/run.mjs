/** A gang ends while its runners are cut off, and one of them crashes behind the cut. */
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
const JOB_ID = "00000000000000a1";
/** Two of twelve runners are cut off: a share of 0.167. */
const RUNNER_COUNT = 12;
const GANG_WORK_MS = 2_500;
const NEXT_WORK_MS = 800;
const GANG_WAIT_MS = 3_000;
/** Time from the cut to the end of the gang, which is 1.5 s later (ms). */
const CUT_AFTER_MS = 1_000;
const FINISH_S = 14;
const IDLE_LIMIT_MS = 3_000;

const isGangTask = ({ task }) => task.split(".")[2] === "0";

await runCase(FOLDER, async (record, atEnd) => {
  const site = new Site(record);
  atEnd(() => site.stop());
  await site.start();
  await site.replaceManifest(MANIFEST);
  await site.waitReady();

  const runners = [];
  // The members work only together, and end `done` together.
  const advance = (runner, run) => {
    if (!isGangTask(run)) {
      if (Date.now() - run.sinceMs >= NEXT_WORK_MS) {
        runner.endRun(run, "done");
      }
      return;
    }
    const members = runners.flatMap((owner) =>
      [...owner.running.values()]
        .filter((other) => isGangTask(other) && other.runId === run.runId)
        .map((other) => ({ owner, other }))
    );
    if (members.length < 2) {
      if (Date.now() - run.sinceMs >= GANG_WAIT_MS) {
        runner.endRun(run, "alone");
      }
      return;
    }
    const togetherMs = Math.max(...members.map(({ other }) => other.sinceMs));
    if (Date.now() - togetherMs >= GANG_WORK_MS) {
      members.forEach(({ owner, other }) => owner.endRun(other, "done"));
    }
  };
  for (let at = 0; at < RUNNER_COUNT; at += 1) {
    const runner = new Runner(record, {
      id: `i-${at}`,
      host: site.host(100 + at),
      controls: controlAddresses(site),
      rack: `r1-${Math.floor(at / 4)}`,
      gang: advance,
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
    phases: [
      { count: 2, cpu: 3_000, mem_mb: 64, gang: true, anti_affinity: 1, estimate_ms: GANG_WORK_MS },
      { count: 1, cpu: 1_000, mem_mb: 64, estimate_ms: NEXT_WORK_MS, depends_on: [0] },
    ],
  });
  record.add(`submitted ${JOB_ID}: ${submitted.status}`);
  if (submitted.status !== 200) {
    throw new Error("the job was not accepted");
  }
  const owners = () => runners.filter(({ running }) => running.size > 0);
  while (owners().length < 2) {
    await sleep(10);
  }
  if (isTroubled) {
    const [crashing, silent] = owners();
    await sleep(CUT_AFTER_MS);
    crashing.cut();
    silent.cut();
    while (silent.running.size > 0) {
      await sleep(10);
    }
    await sleep(300);
    await crashing.crash();
    await sleep(400);
    // Its machine is back on the network as it starts again.
    crashing.heal();
    await crashing.restart();
    await sleep(700);
    silent.heal();
  }

  const deadlineMs = Date.now() + FINISH_S * 1_000 + IDLE_LIMIT_MS;
  let busyAtMs = Date.now();
  while (Date.now() < deadlineMs) {
    const { status, value } = await site.client(1, "GET", `/captures/${JOB_ID}`);
    record.add(`state of ${JOB_ID}: ${status} ${value?.state}, running: ${owners().length}`);
    if (value?.state === "completed") {
      return false;
    }
    if (owners().length > 0) {
      busyAtMs = Date.now();
    }
    await sleep(500);
  }
  const idleMs = Date.now() - busyAtMs;
  record.add(`nothing of ${JOB_ID} has run for ${idleMs} ms`);
  return idleMs > IDLE_LIMIT_MS;
});
