/**
 * A zone is evacuated, taken back and evacuated again. A copy of the first
 * withdrawal waits at a controller that is frozen; the same order has been
 * acknowledged elsewhere. Once the controller wakes, the zone must stay
 * evacuated.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { createJob, createJobId, createManifest, HOST, KEY } from "../lib/manifest.mjs";
import { Runner } from "../lib/runner.mjs";
import {
  finish, HAS_TROUBLE, Operator, Recorder, Site, sleep, submit,
} from "../lib/site.mjs";

const FREEZE_MS = 5_000;
const EVACUATE_MS = 5_000;
const CONTACT_MS = 3_000;
const ZONES = ["zone-a", "zone-b", "zone-c"];

const recorder = new Recorder(dirname(fileURLToPath(import.meta.url)));
const site = new Site(recorder, { zones: ZONES });
const operator = new Operator(site, recorder);
const runners = [];
let lastNumber = 0;

/** Clients submit small jobs as long as this runs. */
async function sendJobs(untilMs) {
  while (Date.now() < untilMs) {
    lastNumber += 1;
    const path = `/bay/${createJobId(lastNumber)}`;
    void submit(site, { host: HOST, key: KEY, path, body: createJob(6, 400) });
    await sleep(200);
  }
}

async function main() {
  await site.start();
  const leader = await site.waitForLeader();
  if (leader === undefined) {
    return 2;
  }
  const manifest = createManifest(1, ["bay"]);
  if ((await operator.order("/v1/Config.Replace", manifest)).status !== 200) {
    return 2;
  }
  for (let at = 0; at < 2 * ZONES.length; at += 1) {
    const runner = new Runner({
      id: `i-${at}`, host: site.host(100 + at), pool: "bay",
      zone: ZONES[at % ZONES.length], site,
      recorder: { log: () => undefined }, rack: `r1-${at}`, cpu: 2_000,
    });
    runners.push(runner);
    await runner.start();
  }
  const jobs = sendJobs(Date.now() + 32_000);
  await sleep(2_000);
  const start = "/v1/Evacuate.Start/zone-a";
  const end = "/v1/Evacuate.Finish/zone-a";
  if ((await operator.order(start)).status !== 200) {
    return 2;
  }
  await sleep(6_000);
  const others = site.controllers.filter((each) => each !== leader);
  const frozen = others[0];
  if (HAS_TROUBLE) {
    site.signal(frozen, "SIGSTOP");
  }
  const frozenAtMs = Date.now();
  await sleep(300);
  // The operator's first choice is the frozen controller.
  const taken = await operator.order(end, undefined, {
    first: [frozen, others[1]],
  });
  await sleep(1_000);
  const again = await operator.order(start, undefined, { first: [others[1]] });
  const ackAtMs = Date.now();
  if (taken.status !== 200 || again.status !== 200) {
    return 2;
  }
  await sleep(Math.max(0, frozenAtMs + FREEZE_MS - Date.now()));
  if (HAS_TROUBLE) {
    site.signal(frozen, "SIGCONT");
  }
  const calmAtMs = Date.now() + CONTACT_MS;
  await jobs;
  const fromMs = Math.max(ackAtMs + EVACUATE_MS, calmAtMs);
  const count = (zone, afterMs) =>
    runners.filter(({ options }) => options.zone === zone)
      .flatMap(({ begun }) => begun)
      .filter(({ atMs }) => atMs > afterMs).length;
  const counts = ZONES.map((zone) => count(zone, fromMs));
  const total = ZONES.map((zone) => count(zone, 0));
  recorder.log(`starts by zone in the whole run: ${total}`);
  recorder.log(
    `starts by zone from ${fromMs - ackAtMs} ms after the acknowledgement of ` +
      `the second evacuation of zone-a on, with no order after it: ${counts}`,
  );
  if (counts[1] + counts[2] === 0 || total[0] === 0) {
    return 2;
  }
  return counts[0] > 0 ? 1 : 0;
}

let code = 2;
try {
  code = await main();
} catch (error) {
  recorder.log(`the case could not run: ${error.stack}`);
}
recorder.log(["the rule held", "the rule was broken", "not judged"][code]);
await finish(
  code,
  () => Promise.all(runners.map((runner) => runner.end())),
  () => site.stop(),
);
