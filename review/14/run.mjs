/** A runner is lost for good as it gets the restart of a task that lasts. */
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
const JOB_ID = "00000000000000e7";
const TASK = `${JOB_ID}.0.0.0`;
const TASK_COUNT = 4;
/** One of twelve runners is lost: a share of 0.083. */
const RUNNER_COUNT = 12;
/** Time after which the task fails once, by its own fault (ms). */
const FAILS_AFTER_MS = 4_000;
/** A task that lasts is due again 6 s after its last run, for 3 s at most. */
const LIMIT_MS = 6_000 + 3_000;

await runCase(FOLDER, async (record, atEnd) => {
  const site = new Site(record);
  atEnd(() => site.stop());
  await site.start();
  await site.replaceManifest(MANIFEST);
  await site.waitReady();
  const runners = [];
  const listEvents = (what) =>
    runners.flatMap(({ events }) => events)
      .filter((event) => event.task === TASK && event.what === what);
  let lost;
  const beginTrouble = (runner, url) => {
    const isRestart = url === "/v1/run-start" && listEvents("failed").length > 0;
    if (isTroubled && isRestart && lost === undefined) {
      lost = runner;
      runner.goDark();
    }
  };
  for (let at = 0; at < RUNNER_COUNT; at += 1) {
    const runner = new Runner(record, {
      id: `i-${at}`,
      host: site.host(100 + at),
      controls: controlAddresses(site),
      rack: `r1-${Math.floor(at / 4)}`,
      workMs: (task, run) => task === TASK && run?.runId === 1 ? FAILS_AFTER_MS : Infinity,
      endOf: () => "failed",
      percent: () => 100,
      onOrder: beginTrouble,
    });
    runners.push(runner);
    atEnd(() => runner.close());
    await runner.start();
  }
  await sleep(1_000);
  const { status } = await site.client(0, "POST", `/captures/${JOB_ID}`, {
    spec: "lasts",
    phases: [{ count: TASK_COUNT, cpu: 4_000, mem_mb: 64, anti_affinity: 1, long_running: true }],
  });
  record.add(`submitted ${JOB_ID}: ${status}`);
  if (status !== 200) {
    throw new Error("the job was not accepted");
  }
  await sleep(FAILS_AFTER_MS + LIMIT_MS + 7_000);
  const [failed] = listEvents("failed");
  const restarted = listEvents("started").find(({ atMs }) => atMs > failed.atMs);
  const idleMs = (restarted?.atMs ?? Date.now()) - failed.atMs;
  record.add(`${TASK} had no run for ${idleMs} ms, of ${LIMIT_MS} at most`);
  return idleMs > LIMIT_MS;
});
