/** Implements `npm run bench -- NAME`, which runs one measurement on this machine. */
import { writeFile } from "node:fs/promises";
import process from "node:process";
import { Builtins, Cli, Command, Option } from "clipanion";
import { MEASUREMENTS } from "./registry.ts";
import { renderReport } from "./report.ts";
import { describeTarget, runMeasurement } from "./run_measurement.ts";

const DEFAULT_SEED = "1";
const DEFAULT_ENTRY_COUNT = "9";
const DEFAULT_VOTER_COUNT = "3";
const UNKNOWN_NAME_EXIT_CODE = 2;

class BenchCommand extends Command {
  static override usage = Command.Usage({
    description: "Run one measurement with real daemons and small stand-ins.",
    details: `
      The last line of standard output is one JSON object with the figures;
      progress and targets go to standard error. See docs/BENCH.md.
    `,
    examples: [["Measure overload", "npm run bench -- overload --quick"]],
  });

  name = Option.String({ required: false });

  seed = Option.String("--seed", DEFAULT_SEED, {
    description: "Seed of every random choice",
  });

  quick = Option.Boolean("--quick", false, {
    description: "End within 50 s",
  });

  list = Option.Boolean("--list", false, {
    description: "List the measurements",
  });

  reportFile = Option.String("--report", {
    description: "Write one self-contained HTML page with plots",
  });

  entryCount = Option.String("--entries", DEFAULT_ENTRY_COUNT, {
    description: "Number of daemons",
  });

  voterCount = Option.String("--voters", DEFAULT_VOTER_COUNT, {
    description: "Number of daemons with a disk, which vote",
  });

  override async execute(): Promise<number> {
    const measurement = MEASUREMENTS.find(({ name }) => name === this.name);
    if (this.list || measurement === undefined) {
      return this.#printList();
    }
    const outcome = await runMeasurement(measurement, {
      seed: Number(this.seed),
      quick: this.quick,
      entryCount: Number(this.entryCount),
      voterCount: Math.min(Number(this.voterCount), Number(this.entryCount)),
    });
    for (const target of measurement.targets) {
      const line = describeTarget(target, outcome.figures);
      this.context.stderr.write(`${line}\n`);
    }
    if (this.reportFile !== undefined) {
      await writeFile(this.reportFile, renderReport(measurement, outcome));
    }
    this.context.stdout.write(`${JSON.stringify(outcome.figures)}\n`);
    return 0;
  }

  #printList(): number {
    for (const { name, summary } of MEASUREMENTS) {
      this.context.stdout.write(`${name.padEnd(16)} ${summary}\n`);
    }
    if (this.list) {
      return 0;
    }
    this.context.stderr.write(
      `there is no measurement '${
        this.name ?? ""
      }'; choose one from the list\n`,
    );
    return UNKNOWN_NAME_EXIT_CODE;
  }
}

const cli = new Cli({ binaryLabel: "bench", binaryName: "npm run bench --" });
cli.register(BenchCommand);
cli.register(Builtins.HelpCommand);
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
