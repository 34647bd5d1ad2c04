/**
 * An idle runner crashes and starts again under its id. Before its first liveness
 * report, a start reaches its new life; then it is cut off for some seconds. The
 * task must not run elsewhere while it still runs there.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  createJob, createJobId, createManifest, HOST, KEY,
} from "../lib/manifest.mjs";
import { Runner } from "../lib/runner.mjs";
import {
  finish, HAS_TROUBLE, Operator, Recorder, Site, sleep, submit,
} from "../lib/site.mjs";

const RUNNER_COUNT = 8;
const LABEL = "b";
/** Time for the answer to a start right after the restart. */
const ANSWER_MS = 300;
const CUT_MS = 5_500;
const RESTART_MS = 300;
const WORK_MS = 15_000;

const recorder = new Recorder(dirname(fileURLToPath(import.meta.url)));
const site = new Site(recorder);
const operator = new Operator(site, recorder);
const runners = [];

async function main() {
  await site.start();
  if (await site.waitForLeader() === undefined) {
    return 2;
  }
  const manifest = createManifest(1, ["bay"]);
  if ((await operator.order("/v1/Config.Replace", manifest)).status !== 200) {
    return 2;
  }
  // Two runners may run the job; the smaller one is the first choice.
  for (let at = 0; at < RUNNER_COUNT; at += 1) {
    const runner = new Runner({
      id: `i-${at}`, host: site.host(100 + at), pool: "bay", zone: "zone-a",
      rack: `r1-${at}`, site, recorder, cpu: at === 0 ? 32_000 : 64_000,
      ...(at < 2 ? { labels: [LABEL, `r1-${at}`] } : {}),
    });
    runners.push(runner);
    await runner.start();
  }
  const [first] = runners;
  await sleep(6_500);
  await first.beat();
  recorder.log("runner i-0: crashes and starts again");
  await first.end();
  await sleep(RESTART_MS);
  const second = new Runner({
    ...first.options, port: first.port, beatsLater: true,
  });
  runners[0] = second;
  if (HAS_TROUBLE) {
    second.onOrder = async (path) => {
      if (path === "/v1/run-start" && !second.wasCut) {
        second.wasCut = true;
        setTimeout(() => {
          recorder.log(`runner i-0: is cut off for ${CUT_MS} ms`);
          second.isCut = true;
          setTimeout(() => {
            recorder.log("runner i-0: is reached again");
            second.isCut = false;
          }, CUT_MS);
        }, ANSWER_MS / 2);
        await sleep(ANSWER_MS);
      }
    };
  }
  await second.start();
  const id = createJobId(1);
  const accepted = await submit(site, {
    host: HOST, key: KEY, path: `/bay/${id}`,
    body: createJob(1, WORK_MS, { requirements: LABEL }),
  });
  recorder.log(`client: job ${id}: ${accepted.status}`);
  await sleep(12_000);
  if (second.begun.length === 0) {
    recorder.log("the start did not reach the second life; not judged");
    return 2;
  }
  const spans = runners.flatMap((runner) =>
    runner.begun.map(({ task, number, atMs }) => ({
      id: runner.id,
      number,
      fromMs: atMs,
      toMs: runner.ends.find((end) =>
        end.task === task && end.number === number
      )?.atMs ?? Infinity,
    }))
  );
  let overlapMs = 0;
  for (const one of spans) {
    for (const other of spans) {
      if (one !== other && one.fromMs <= other.fromMs) {
        overlapMs = Math.max(
          overlapMs,
          Math.min(one.toMs, other.toMs) - other.fromMs,
        );
      }
    }
  }
  recorder.log(
    `runs: ${spans.length}; two at the same time for ${overlapMs} ms`,
  );
  return overlapMs > 0 ? 1 : 0;
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
