/** A runner resets all requests for a while, and its zone is evacuated meanwhile. */
import {
  call,
  controlAddresses,
  isTroubled,
  MANIFEST,
  Runner,
  runCase,
  Site,
  sleep,
} from "../lib-3/site.mjs";

const FOLDER = new URL(".", import.meta.url).pathname;
/** One of twelve runners: a share of 0.083. */
const RUNNER_COUNT = 12;
const ZONE_COUNT = 3;
const GREY_MS = 5_500;
/** `evacuate_ms` of the deployment. */
const EVACUATE_MS = 5_000;
const WORK_MS = 1_000;
const JOB_COUNT = 30;
const JOB_INTERVAL_MS = 300;

/** Sends the order as an operator does, to one node after the other. */
async function evacuate(site, record, zone) {
  for (let at = 0; at < 12; at += 1) {
    const { host } = site.controllers[at % site.controllers.length];
    const { status } = await call({
      host,
      port: site.controlPort,
      method: "POST",
      path: `/v1/Evacuate.Start/${zone}`,
      timeoutMs: 1_000,
    });
    record.add(`evacuation of ${zone} sent to ${host}: ${status}`);
    if (status === 200) {
      return Date.now();
    }
    await sleep(100);
  }
  throw new Error("the evacuation was not acknowledged");
}

await runCase(FOLDER, async (record, atEnd) => {
  const site = new Site(record);
  atEnd(() => site.stop());
  await site.start();
  await site.replaceManifest(MANIFEST);
  await site.waitReady();
  const runners = [];
  let grey;
  let acked;
  // The runner that gets the first start begins to reset all requests just then;
  // its reports go on.
  const beginTrouble = (runner, url) => {
    if (grey !== undefined || url !== "/v1/run-start") {
      return;
    }
    grey = runner;
    if (isTroubled) {
      runner.beginResets();
      setTimeout(() => runner.endResets(), GREY_MS);
    }
    acked = evacuate(site, record, runner.zone);
  };
  for (let at = 0; at < RUNNER_COUNT; at += 1) {
    const runner = new Runner(record, {
      id: `i-${at}`,
      host: site.host(100 + at),
      controls: controlAddresses(site),
      zone: `zone-${at % ZONE_COUNT}`,
      rack: `r1-${Math.floor(at / 4)}`,
      workMs: () => WORK_MS,
      onOrder: beginTrouble,
    });
    runners.push(runner);
    atEnd(() => runner.close());
    await runner.start();
  }
  await sleep(1_000);
  for (let at = 0; at < JOB_COUNT; at += 1) {
    const id = (0xd0 + at).toString(16).padStart(16, "0");
    const { status } = await site.client(at % 2, "POST", `/captures/${id}`, {
      spec: "s",
      phases: [{ count: 4, cpu: 4_000, mem_mb: 64, estimate_ms: WORK_MS }],
    });
    record.add(`submitted ${id}: ${status}`);
    await sleep(JOB_INTERVAL_MS);
  }
  await sleep(3_000);
  const ackedAtMs = await acked;
  let lateCount = 0;
  for (const runner of runners.filter(({ zone }) => zone === grey.zone)) {
    for (const { task, runId, what, atMs } of runner.events) {
      if (what === "started" && atMs - ackedAtMs > EVACUATE_MS) {
        lateCount += 1;
        record.add(
          `${task} run ${runId} was started on ${runner.id} in ${runner.zone} ${
            atMs - ackedAtMs
          } ms after the acknowledgement`,
        );
      }
    }
  }
  record.add(`late starts: ${lateCount}`);
  return lateCount > 0;
});
