/**
 * A runner ends in a planned way and starts again under its id, while a copy of
 * its deregistration waits at a controller that is frozen. Its second life is
 * sound and announces itself. It must still get the work that only it can do
 * once the controller has woken.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { createJob, createJobId, createManifest, HOST, KEY } from "../lib/manifest.mjs";
import { Runner } from "../lib/runner.mjs";
import {
  call, finish, HAS_TROUBLE, Operator, Recorder, Site, sleep, submit,
} from "../lib/site.mjs";

const FREEZE_MS = 5_000;
/** The rule's limit: 3 s with nothing running, with the 4 s before calm. */
const IDLE_LIMIT_MS = 3_000;
const CALM_MS = 4_000;

/** The runner that restarts is the only one with this label. */
const LABEL = "b";
const RUNNER_COUNT = 6;
const STEP = { requirements: LABEL };

const recorder = new Recorder(dirname(fileURLToPath(import.meta.url)));
const site = new Site(recorder);
const operator = new Operator(site, recorder);
const others = [];

async function deregister(runner, targets) {
  for (const target of targets) {
    recorder.log(`runner ${runner.id}: deregisters at ${target.name}`);
    const answer = await call(
      target.control,
      "POST",
      `/v1/Instances.Deregister/${runner.id}`,
      { body: runner.describe() },
    );
    recorder.log(`runner ${runner.id}: ${answer.status ?? answer.error}`);
    if (answer.status === 200) {
      return;
    }
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
  for (let at = 1; at < RUNNER_COUNT; at += 1) {
    const other = new Runner({
      id: `i-${at}`, host: site.host(100 + at), pool: "bay", zone: "zone-a",
      rack: `r1-${at}`, site, recorder,
    });
    others.push(other);
    await other.start();
  }
  const options = {
    id: "i-0", host: site.host(100), pool: "bay", zone: "zone-b", site, recorder,
    labels: [LABEL, "r1-0"],
  };
  const first = new Runner(options);
  await first.start();
  // A first job shows that the runner is served.
  const before = createJobId(1);
  await submit(site, {
    host: HOST, key: KEY, path: `/bay/${before}`, body: createJob(1, 300, STEP),
  });
  await sleep(2_500);
  if (first.ends.length !== 1) {
    recorder.log("the first job did not run; the case cannot be judged");
    return 2;
  }

  // Planned end: draining, then the deregistration, then the end.
  first.state = "draining";
  await first.beat();
  await sleep(2_100);
  const followers = site.controllers.filter((each) => each !== leader);
  const frozen = followers[0];
  if (HAS_TROUBLE) {
    site.signal(frozen, "SIGSTOP");
  }
  const frozenAtMs = Date.now();
  await sleep(300);
  await deregister(first, [frozen, followers[1]]);
  await first.end();
  await sleep(700);

  // The second life, under the same id.
  const second = new Runner({ ...options, port: first.port, firstControl: 1 });
  await second.start();
  const during = createJobId(2);
  await submit(site, {
    host: HOST, key: KEY, path: `/bay/${during}`, body: createJob(1, 300, STEP),
  });
  await sleep(Math.max(0, frozenAtMs + FREEZE_MS - Date.now()));
  if (HAS_TROUBLE) {
    site.signal(frozen, "SIGCONT");
  }
  recorder.log(`the second life has begun ${second.begun.length} runs`);
  const calmAtMs = Date.now() + CALM_MS;
  await sleep(CALM_MS);
  const id = createJobId(3);
  const accepted = await submit(site, {
    host: HOST, key: KEY, path: `/bay/${id}`, body: createJob(1, 300, STEP),
  });
  recorder.log(`client: POST of job ${id}: ${accepted.status}`);
  if (accepted.status !== 200) {
    return 2;
  }
  const untilMs = Date.now() + 20_000;
  let state;
  while (Date.now() < untilMs && state !== "completed") {
    await sleep(500);
    state = (await submit(site, {
      host: HOST, key: KEY, path: `/bay/${id}`, method: "GET",
    })).body?.state;
  }
  const begun = second.begun.find(({ task }) => task.startsWith(id));
  recorder.log(
    `client: job ${id} is ${state} 20 s later at most; its start: ${
      begun === undefined ? "none" : `${begun.atMs - calmAtMs} ms after the calm`
    }`,
  );
  const leaderNow = site.findLeader();
  recorder.log(`the leader is ${leaderNow?.name}, it was ${leader.name}`);
  await second.end();
  return begun === undefined || begun.atMs - calmAtMs > IDLE_LIMIT_MS + 1_000
    ? 1
    : 0;
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
  () => Promise.all(others.map((runner) => runner.end())),
  () => site.stop(),
);
