/** One attempt on the wire: what was written, and whether its answer is whole. */
import type { IncomingHttpHeaders } from "node:http";
import { Readable } from "node:stream";
import { clearTimeout, setTimeout } from "node:timers";
import { Result } from "true-myth";
import type { Dispatcher } from "undici";
import {
  ATTEMPT_ID_HEADER,
  createFailure,
  NOT_STARTED_HEADER,
} from "../../domain/index.ts";
import type {
  Attempt,
  AttemptAnswer,
  AttemptFailure,
} from "../../ports/index.ts";
import {
  flattenHeaders,
  isTruncationDetectable,
  omitHopByHopHeaders,
} from "./headers.ts";

const INVALID_REQUEST_CODE = "UND_ERR_INVALID_ARG";

/**
 * Follows one attempt through undici. undici calls `onRequestStart` just before
 * it writes the first byte, so a failure before that call is certain to mean
 * that nothing was sent; any failure after it leaves the outcome in doubt.
 */
export class AttemptExchange implements Dispatcher.DispatchHandler {
  /** Settles with the head of the answer, or with the failure. */
  readonly result: Promise<Result<AttemptAnswer, AttemptFailure>>;
  readonly #attempt: Attempt;
  readonly #leaseTimer: NodeJS.Timeout;
  #settle: (result: Result<AttemptAnswer, AttemptFailure>) => void = () => {};
  #controller: Dispatcher.DispatchController | undefined;
  #abortReason: Error | undefined;
  #hasStarted = false;
  #body: Readable | undefined;

  /**
   * @param attempt - The attempt; its lease begins now.
   */
  constructor(attempt: Attempt) {
    this.#attempt = attempt;
    this.result = new Promise((resolve) => {
      this.#settle = resolve;
    });
    this.#leaseTimer = setTimeout(
      () =>
        this.#abort(new Error("no whole answer within the attempt's lease")),
      Math.max(1, Math.ceil(attempt.leaseMs)),
    );
    attempt.signal.addEventListener("abort", this.#onCancel, { once: true });
    if (attempt.signal.aborted) {
      this.#onCancel();
    }
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#abortReason !== undefined) {
      controller.abort(this.#abortReason);
      return;
    }
    if (this.#hasStarted) {
      // undici puts a request back into its queue after some resets.
      controller.abort(new Error("the connection was reset after sending"));
      return;
    }
    this.#hasStarted = true;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    rawHeaders: IncomingHttpHeaders,
  ): void {
    if (status < 200) {
      return;
    }
    const headers = flattenHeaders(rawHeaders);
    if (headers[ATTEMPT_ID_HEADER] !== this.#attempt.attemptId) {
      // Another attempt's answer: whatever follows on this connection is crossed too.
      controller.abort(new Error("the answer belongs to another attempt"));
      return;
    }
    if (headers[NOT_STARTED_HEADER] === "true") {
      this.#settle(
        Result.err(this.#createNotStartedFailure("refused the attempt")),
      );
      return;
    }
    if (!isTruncationDetectable(this.#attempt.method, status, headers)) {
      controller.abort(
        new Error("the answer has neither a length nor chunks to check"),
      );
      return;
    }
    this.#body = this.#createBody(controller);
    this.#settle(
      Result.ok({
        status,
        headers: omitHopByHopHeaders(headers),
        body: this.#body,
      }),
    );
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Uint8Array,
  ): void {
    if (this.#body !== undefined && !this.#body.push(chunk)) {
      controller.pause();
    }
  }

  onResponseEnd(): void {
    this.#clearAbortSources();
    this.#controller = undefined;
    this.#body?.push(null);
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.#clearAbortSources();
    this.#controller = undefined;
    this.#body?.destroy(error);
    this.#settle(Result.err(this.#toAttemptFailure(error)));
  }

  readonly #onCancel = () => {
    this.#abort(new Error("the caller has gone away"));
  };

  #abort(reason: Error): void {
    this.#abortReason ??= reason;
    if (this.#hasStarted) {
      this.#controller?.abort(reason);
      return;
    }
    // Still queued or connecting: it will be dropped unsent when its turn comes.
    this.#clearAbortSources();
    const kind = this.#attempt.signal.aborted ? "cancelled" : "expired";
    this.#settle(
      Result.err({
        failure: createFailure(kind, `${reason.message}; nothing was sent`),
        notStarted: true,
      }),
    );
  }

  #clearAbortSources(): void {
    clearTimeout(this.#leaseTimer);
    this.#attempt.signal.removeEventListener("abort", this.#onCancel);
  }

  #createBody(controller: Dispatcher.DispatchController): Readable {
    const body = new Readable({
      read: () => controller.resume(),
      destroy: (error, done) => {
        this.#controller?.abort(error ?? new Error("the answer is not wanted"));
        done(error);
      },
    });
    // A reader sees the error; without one it must not end the process.
    return body.on("error", () => undefined);
  }

  #toAttemptFailure(error: Error): AttemptFailure {
    const code = "code" in error ? String(error.code) : error.message;
    if (this.#hasStarted) {
      return {
        failure: createFailure(
          "outcomeUnknown",
          `${this.#formatAddress()}: ${error.message}`,
          {
            remedy: "look the work up before sending it again; it may have run",
          },
        ),
        notStarted: false,
      };
    }
    return code === INVALID_REQUEST_CODE
      ? {
        failure: createFailure("invalidInput", error.message),
        notStarted: true,
      }
      : this.#createNotStartedFailure(`cannot be reached: ${code}`);
  }

  #createNotStartedFailure(problem: string): AttemptFailure {
    return {
      failure: createFailure(
        "noBackendServer",
        `${this.#formatAddress()} ${problem}`,
      ),
      notStarted: true,
    };
  }

  #formatAddress(): string {
    return `${this.#attempt.host}:${this.#attempt.port}`;
  }
}
