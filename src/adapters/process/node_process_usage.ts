/** Process usage port on top of Node.js. */
import { performance } from "node:perf_hooks";
import process from "node:process";
import type { ProcessUsage, ProcessUsageReading } from "../../ports/index.ts";

const MICROSECONDS_PER_MS = 1_000;

/** Reads the usage of this process. */
export class NodeProcessUsage implements ProcessUsage {
  read(): ProcessUsageReading {
    const { user, system } = process.cpuUsage();
    return {
      cpuMs: (user + system) / MICROSECONDS_PER_MS,
      loopActiveMs: performance.eventLoopUtilization().active,
    };
  }
}
