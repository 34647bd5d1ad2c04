/** A manifest gives two queues of different services the same route name. */
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
const RUNNER_COUNT = 12;
const WORK_MS = 800;
const JOB_COUNT = 10;
/** `config_apply_ms` of the deployment. */
const CONFIG_APPLY_MS = 2_000;

const [first] = MANIFEST.routes;
const [bay] = MANIFEST.services;
const DESK = { ...bay, name: "desk" };
/** Differs from the first route in its prefix and its service. */
const second = {
  ...first,
  name: isTroubled ? first.name : "orders",
  path_prefix: "/orders/",
  service: DESK.name,
};

await runCase(FOLDER, async (record, atEnd) => {
  const site = new Site(record);
  atEnd(() => site.stop());
  await site.start();
  await site.replaceManifest({ ...MANIFEST, services: [bay, DESK] });
  await site.waitReady();
  const runners = [];
  for (let at = 0; at < RUNNER_COUNT; at += 1) {
    const service = at % 2 === 0 ? bay.name : DESK.name;
    const runner = new Runner(record, {
      id: `${service}-${at}`,
      host: site.host(100 + at),
      controls: controlAddresses(site),
      rack: `r1-${Math.floor(at / 4)}`,
      service,
      workMs: () => WORK_MS,
    });
    runner.service = service;
    runners.push(runner);
    atEnd(() => runner.close());
    await runner.start();
  }
  await site.replaceManifest({
    ...MANIFEST,
    version: 2,
    routes: [first, second],
    services: [bay, DESK],
  });
  for (const { name, path_prefix, service } of [first, second]) {
    record.add(`route ${name}: ${path_prefix} to ${service}`);
  }
  await sleep(CONFIG_APPLY_MS + 1_000);
  const submitted = new Set();
  for (let at = 0; at < JOB_COUNT; at += 1) {
    const id = (0xb0 + at).toString(16).padStart(16, "0");
    const { status } = await site.client(at % 2, "POST", `${second.path_prefix}${id}`, {
      spec: "s",
      phases: [{ count: 2, cpu: 2_000, mem_mb: 64, estimate_ms: WORK_MS }],
    });
    record.add(`submitted ${second.path_prefix}${id}: ${status}`);
    if (status === 200) {
      submitted.add(id);
    }
    await sleep(200);
  }
  await sleep(4_000);
  if (submitted.size === 0) {
    throw new Error("no job was accepted");
  }
  let wrongCount = 0;
  for (const { events, id, service } of runners) {
    for (const { task, what } of events) {
      if (what === "started" && submitted.has(task.split(".")[0]) && service !== second.service) {
        wrongCount += 1;
        record.add(`${task} was started on ${id} of ${service}, its queue goes to ${second.service}`);
      }
    }
  }
  record.add(`starts on a wrong service: ${wrongCount}`);
  return wrongCount > 0;
});
