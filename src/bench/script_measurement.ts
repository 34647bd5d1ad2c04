/** Runs a measurement that is a separate program. */
import { spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { fileURLToPath } from "node:url";
import type {
  Figures,
  Measurement,
  MeasurementContext,
  Outcome,
} from "./measurement.ts";

/** Options of {@link ScriptMeasurement}. */
export interface ScriptOptions {
  readonly name: string;
  readonly summary: string;
  /** Name of the compiled file, which is in the same folder as this module. */
  readonly file: string;
}

/** Runs a program whose last line of standard output has the figures as JSON. */
export class ScriptMeasurement implements Measurement {
  readonly name: string;
  readonly summary: string;
  readonly targets = [];
  readonly #file: string;

  constructor(options: ScriptOptions) {
    this.name = options.name;
    this.summary = options.summary;
    this.#file = options.file;
  }

  async run(context: MeasurementContext): Promise<Outcome> {
    const path = fileURLToPath(new URL(this.#file, import.meta.url));
    const child = spawn(process.execPath, [path], {
      stdio: ["ignore", "pipe", "inherit"],
    });
    const closed = once(child, "close");
    context.cleanup.add(async () => {
      child.kill("SIGKILL");
      await closed;
    });
    let text = "";
    child.stdout.setEncoding("utf8").on("data", (chunk) => text += chunk);
    const [exitCode] = await closed;
    const last = text.trimEnd().split("\n").at(-1) ?? "";
    if (exitCode !== 0) {
      throw new Error(`${this.#file} exited with code ${exitCode}`);
    }
    return { figures: JSON.parse(last) as Figures, plots: [] };
  }
}
