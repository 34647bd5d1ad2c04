/** The base of all commands: options, the call to an entry, and the output. */
import { randomUUID } from "node:crypto";
import { readFile } from "node:fs/promises";
import process from "node:process";
import { Command, Option } from "clipanion";
import { Result } from "true-myth";
import { createFailure, type Failure, findAnswer } from "../domain/index.ts";
import { ApiClient } from "./api/index.ts";

const DEFAULT_URL = "http://127.0.0.1:7070";
const DEFAULT_KEY_FILE = "data/operator.key";

/** A command that calls the operators' HTTP interface of an entry. */
export abstract class ApiCommand extends Command {
  url = Option.String("--url", process.env["CARDAMOMSILL_URL"] ?? DEFAULT_URL, {
    description: "Address of any entry (CARDAMOMSILL_URL)",
  });

  keyFile = Option.String(
    "--key-file",
    process.env["CARDAMOMSILL_KEY_FILE"] ?? DEFAULT_KEY_FILE,
    { description: "File with an operator's key (CARDAMOMSILL_KEY_FILE)" },
  );

  output = Option.String("-o,--output", "table", {
    description: "Output format: table or json",
  });

  /**
   * Executes the command.
   *
   * @param client - The client of the entry.
   * @returns The output, or the failure.
   */
  abstract run(client: ApiClient): Promise<Result<CommandOutput, Failure>>;

  override async execute(): Promise<number> {
    if (this.output !== "table" && this.output !== "json") {
      return this.#printFailure(
        createFailure("invalidInput", `unknown --output '${this.output}'`, {
          remedy: "use table or json",
        }),
      );
    }
    const client = await this.#createClient();
    if (client.isErr) {
      return this.#printFailure(client.error);
    }
    const output = await this.run(client.value);
    if (output.isErr) {
      return this.#printFailure(output.error);
    }
    const { value, text } = output.value;
    const printed = this.output === "json"
      ? `${JSON.stringify(value, undefined, 2)}\n`
      : text;
    this.context.stdout.write(printed);
    return 0;
  }

  /** Creates an operation id, so that a change can be retried safely. */
  protected createOperationId(): string {
    return randomUUID();
  }

  async #createClient(): Promise<Result<ApiClient, Failure>> {
    try {
      const key = await readFile(this.keyFile, "utf8");
      return Result.ok(new ApiClient({ url: this.url, key: key.trim() }));
    } catch (error) {
      return Result.err(
        createFailure(
          "invalidInput",
          `--key-file ${this.keyFile} cannot be read: ${error}`,
          {
            remedy: "set it to a readable file with an operator's key",
          },
        ),
      );
    }
  }

  #printFailure(failure: Failure): number {
    const { stderr, stdout } = this.context;
    if (this.output === "json") {
      stdout.write(`${JSON.stringify({ error: failure })}\n`);
    }
    stderr.write(`${failure.kind}: ${failure.message}\n`);
    if (failure.remedy !== undefined) {
      stderr.write(`remedy: ${failure.remedy}\n`);
    }
    if (failure.detail !== undefined && this.output === "table") {
      stderr.write(`detail: ${JSON.stringify(failure.detail)}\n`);
    }
    return findAnswer(failure).exitCode;
  }
}

/** The output of a command in both formats. */
export interface CommandOutput {
  /** Printed as JSON with `--output json`. */
  readonly value: unknown;
  /** Printed as it is with `--output table`. */
  readonly text: string;
}
