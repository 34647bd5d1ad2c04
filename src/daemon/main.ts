#!/usr/bin/env node
/** The daemon `cardamomsilld`: runs one entry until a signal stops it. */
import process from "node:process";
import { Builtins, Cli, Command, Option } from "clipanion";
import { SystemClock } from "../adapters/clock/index.ts";
import { createProcessLogger } from "../adapters/logging/index.ts";
import { logUnhandledRejections } from "../adapters/process/index.ts";
import { type Failure, findAnswer } from "../domain/index.ts";
import { createEntry } from "./create_entry.ts";
import { loadSettings } from "./settings/index.ts";

/** Exit code of a process whose disk can no longer be trusted. */
const FATAL_EXIT_CODE = 8;
/** Maximum time to write the last lines of the log at a stop, in milliseconds. */
const LOG_FLUSH_TIMEOUT_MS = 500;

class RunCommand extends Command {
  static override usage = Command.Usage({
    description: "Run one entry.",
    details: `
      Without a settings file the entry runs alone, keeps its state in ./data
      and serves HTTP at 127.0.0.1:7070. See docs/OPERATIONS.md.
    `,
    examples: [["Run with settings", "cardamomsilld --settings entry.jsonc"]],
  });

  settingsFile = Option.String("--settings", {
    description: "Settings file: JSON with comments",
  });

  override async execute(): Promise<number> {
    const settings = await loadSettings(this.settingsFile);
    if (settings.isErr) {
      return this.#printFailure(settings.error);
    }
    const { entryId, logLevel, logLinesPerSecond } = settings.value;
    const log = createProcessLogger({
      name: "cardamomsilld",
      level: logLevel,
      maxLinesPerSecond: logLinesPerSecond,
      clock: new SystemClock(),
    });
    const logger = log.logger.child({ entryId });
    logUnhandledRejections(logger);
    const onFatal = (failure: Failure) => {
      logger.error(
        { failure },
        "exiting, because the disk can no longer be trusted",
      );
      process.exit(FATAL_EXIT_CODE);
    };
    const entry = await createEntry({
      settings: settings.value,
      logger,
      onFatal,
    });
    if (entry.isErr) {
      return this.#printFailure(entry.error);
    }
    const signalName = await waitForStopSignal();
    logger.info({ signalName }, "stopping the entry");
    await entry.value.stop();
    logger.info({}, "the entry has stopped");
    await log.stream.flush(LOG_FLUSH_TIMEOUT_MS);
    return 0;
  }

  #printFailure(failure: Failure): number {
    const remedy = failure.remedy === undefined
      ? ""
      : `\nremedy: ${failure.remedy}`;
    this.context.stderr.write(`cardamomsilld: ${failure.message}${remedy}\n`);
    return findAnswer(failure).exitCode;
  }
}

function waitForStopSignal(): Promise<string> {
  return new Promise((resolve) => {
    for (const name of ["SIGTERM", "SIGINT"] as const) {
      process.once(name, () => resolve(name));
    }
  });
}

const cli = new Cli({
  binaryLabel: "cardamomsilld",
  binaryName: "cardamomsilld",
  binaryVersion: "0.1.0",
});
cli.register(RunCommand);
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
