/** `cardamomsill watch`: prints changes as they take effect. */
import process from "node:process";
import { Command } from "clipanion";
import { Result } from "true-myth";
import type { Failure } from "../../domain/index.ts";
import type { ApiClient } from "../api/index.ts";
import { ApiCommand, type CommandOutput } from "../api_command.ts";

/** Prints one JSON line for each change until interrupted. */
export class WatchCommand extends ApiCommand {
  static override paths = [["watch"]];
  static override usage = Command.Usage({
    description: "Print one JSON line for each change until interrupted.",
  });

  override async run(
    client: ApiClient,
  ): Promise<Result<CommandOutput, Failure>> {
    const stop = new AbortController();
    process.once("SIGINT", () => stop.abort());
    try {
      for await (const line of client.stream("/v1/watch", stop.signal)) {
        this.context.stdout.write(`${line}\n`);
      }
    } catch (error) {
      if (!stop.signal.aborted) {
        throw error;
      }
    }
    return Result.ok({ value: { ended: true }, text: "" });
  }
}
