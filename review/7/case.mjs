// One of many jobs can never run: each of its tasks, which last, is larger than
// any runner. Others that need the same kind of runner wait behind it.
import { runCase, sleep } from "../lib-2/site.mjs";

const HOPELESS_ID = "00000000000000b7";
const JOB_ID = "00000000000000a7";
/** Jobs that can run, of which the hopeless one is a twentieth. */
const OTHER_COUNT = 18;
const GAP_MS = 150;
/** Bounds of the pages: `finish_s`, and the 3 s of the rule. */
const FINISH_MS = 14_000;
const IDLE_MS = 3000;
const LOOK_MS = 250;

const createJob = (step, workMs = 600) => ({
  spec: JSON.stringify({ workMs }),
  phases: [{ count: 1, cpu: 3200, mem_mb: 9100, estimate_ms: workMs, ...step }],
});

await runCase({ runnerCount: 12, kinds: ["b"] }, async (site, hasTrouble) => {
  await site.settle();
  for (let at = 0; at < OTHER_COUNT; at += 1) {
    await site.submit(
      `00000000000001${String(at).padStart(2, "0")}`,
      createJob({}),
    );
    if (at === OTHER_COUNT / 2 && hasTrouble) {
      const step = { cpu: 65_000, long_running: true, requirements: "b" };
      await site.submit(HOPELESS_ID, createJob(step));
    }
    await sleep(GAP_MS);
  }
  await site.submit(JOB_ID, createJob({ requirements: "b" }));
  // The traffic ends here.
  await sleep(FINISH_MS);
  const untilMs = Date.now() + IDLE_MS;
  let state;
  let busyCount = 0;
  while (Date.now() < untilMs) {
    state = (await site.client("GET", JOB_ID)).body?.state;
    busyCount += site.runners.filter(({ running }) =>
      running.length > 0
    ).length;
    await sleep(LOOK_MS);
  }
  const hasStarted = site.listEvents(JOB_ID).length > 0;
  return state !== "completed" && !hasStarted && busyCount === 0
    ? `${FINISH_MS} ms after the end of the traffic, job ${JOB_ID} is ${state} and was never started; for ${IDLE_MS} ms all ${site.runners.length} runners are idle, among them the one of its kind`
    : undefined;
});
