/**
 * The manifest grows by many routes, and then changes a few hundred times while
 * no jobs come. The platform starts a controller that has ended again. On half of
 * the controllers, no process may end by itself three times.
 */
import { readFileSync, statSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { createManifest } from "../lib/manifest.mjs";
import {
  finish, HAS_TROUBLE, Operator, Recorder, Site, sleep,
} from "../lib/site.mjs";

/** Routes by which the manifest grows: the largest dose of the site file. */
const ROUTE_COUNT = 1_600;
/** Manifests in quick succession, as the pages' sites have them. */
const STORM_MS = 4_100;
const GAP_MS = 170;
const PAUSE_MS = 2_000;
const STORM_COUNT = 17;
const MOST_IN_FLIGHT = 8;
const PLAY_MS = 108_000;
const RESTART_MS = 1_000;
const MOST_OWN_ENDS = 2;

const recorder = new Recorder(dirname(fileURLToPath(import.meta.url)));
const site = new Site(recorder);
const operator = new Operator(site, recorder);

function createGrown(version, count) {
  const manifest = createManifest(version, ["bay", "desk"]);
  for (let at = 0; at < count; at += 1) {
    manifest.routes.push({
      ...manifest.routes[0],
      name: `r-idle${String(at).padStart(5, "0")}`,
      path_prefix: `/idle${String(at).padStart(5, "0")}/x${at % 7}/`,
      timeout_ms: 3_000 + version % 100,
    });
  }
  return manifest;
}

function readMemoryMb({ child, hasExited }) {
  if (hasExited) {
    return undefined;
  }
  try {
    const text = readFileSync(`/proc/${child.pid}/status`, "utf8");
    return Math.round(Number(/VmRSS:\s+(\d+)/.exec(text)?.[1]) / 1_024);
  } catch {
    return undefined;
  }
}

function readDiskMb({ folder }) {
  let bytes = 0;
  for (const name of ["log", "snapshot", "vote", "log.new", "snapshot.new"]) {
    try {
      bytes += statSync(join(folder, name)).size;
    } catch {
      // Not there.
    }
  }
  return (bytes / 1e6).toFixed(1);
}

function report(version) {
  const parts = site.controllers.map((each) =>
    `${readMemoryMb(each) ?? "-"} MB/${readDiskMb(each)} MB`
  );
  recorder.log(`version ${version}: memory/disk ${parts.join(", ")}`);
}

function countBroken() {
  return site.controllers.filter(({ ownEnds = 0 }) => ownEnds > MOST_OWN_ENDS)
    .length;
}

/** Starts controllers again that have ended by themselves. */
async function restartEnded(isOver) {
  while (!isOver()) {
    for (const each of site.controllers) {
      if (each.hasExited) {
        await sleep(RESTART_MS);
        if (!isOver()) {
          recorder.log(`starts ${each.name} again, log of ${readDiskMb(each)} MB`);
          site.launch(each);
        }
      }
    }
    await sleep(100);
  }
}

async function main() {
  await site.start();
  if (await site.waitForLeader() === undefined) {
    return 2;
  }
  const first = createManifest(1, ["bay", "desk"]);
  if ((await operator.order("/v1/Config.Replace", first)).status !== 200) {
    return 2;
  }
  const grown = HAS_TROUBLE ? ROUTE_COUNT : 0;
  const size = JSON.stringify(createGrown(2, grown)).length;
  recorder.log(`a manifest has ${size} bytes`);
  const endMs = Date.now() + PLAY_MS;
  let isOver = false;
  const restarts = restartEnded(() => isOver);
  let version = 1;
  let lastAcked = 1;
  let inFlight = 0;
  const isBroken = () => countBroken() * 2 >= site.controllers.length;
  const isPlayOver = () => Date.now() >= endMs || isBroken();
  const change = async (sent) => {
    inFlight += 1;
    const answer = await operator.order(
      "/v1/Config.Replace",
      createGrown(sent, grown),
      { quiet: true, timeoutMs: 3_000, isOver: isPlayOver },
    );
    inFlight -= 1;
    lastAcked = answer.status === 200 ? Math.max(lastAcked, sent) : lastAcked;
  };
  for (let storm = 0; storm < STORM_COUNT && !isPlayOver(); storm += 1) {
    const stormEndMs = Date.now() + STORM_MS;
    while (Date.now() < stormEndMs && !isPlayOver()) {
      if (inFlight < MOST_IN_FLIGHT) {
        version += 1;
        void change(version);
      }
      await sleep(GAP_MS);
    }
    report(version);
    await sleep(PAUSE_MS);
  }
  // The operator sends what got no acknowledgement on and on.
  while (inFlight > 0 && !isPlayOver()) {
    await sleep(100);
  }
  report(version);
  isOver = true;
  await restarts;
  recorder.log(`the newest acknowledged version is ${lastAcked}`);
  const counts = site.controllers.map(({ name, ownEnds = 0 }) =>
    `${name} ${ownEnds}`
  );
  recorder.log(`processes that ended by themselves: ${counts.join(", ")}`);
  return isBroken() ? 1 : 0;
}

let code = 2;
try {
  code = await main();
} catch (error) {
  recorder.log(`the case could not run: ${error.stack}`);
}
recorder.log(["the rule held", "the rule was broken", "not judged"][code]);
await finish(code, () => site.stop());
