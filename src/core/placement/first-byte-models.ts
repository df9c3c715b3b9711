/** What a first byte waits for, as known when its request is sent. */
export interface FirstByteInput {
  /** Tokens of its own prompt that the server has to read. */
  readonly readTokens: number;
  /** Tokens of other prompts that the server still has to read. */
  readonly pendingTokens: number;
  /** Time in which a slot is expected to be free, ms. */
  readonly queueMs: number;
}

/** Time to a first byte as a sum of what it waits for. */
export interface FirstByteModel {
  readonly constantMs: number;
  readonly msPerReadToken: number;
  readonly msPerPendingToken: number;
  /** Part of the expected wait for a slot that requests of this kind really wait. */
  readonly queueShare: number;
}

/** Learns for each kind of request how long first bytes take. */
export interface FirstByteModels {
  model(kind: string): FirstByteModel;
  note(kind: string, input: FirstByteInput, actualMs: number): void;
}

type Row = readonly [number, number, number, number];

interface Kind {
  /** Sums over what was seen, the newest weighing most: products of the inputs, and of inputs and times. */
  readonly products: number[][];
  readonly targets: number[];
  model: FirstByteModel;
  notedSinceSolved: number;
}

const INPUTS = 4;
const TOKENS_PER_UNIT = 1_000;
const MS_PER_UNIT = 100;
/**
 * Until something is seen: an accelerator reads some tens of tokens a ms, and an urgent request passes a part of what
 * waits there.
 */
const PRIOR: Row = [20, 25, 18, MS_PER_UNIT];
/** Weight of the prior in samples, for each input: the constant is learned at once, the rest as it varies. */
const PRIOR_WEIGHT: Row = [2, 8, 8, 8];
/** Part of the sums that one more sample leaves; some sixty requests decide, a few seconds of a busy region. */
const KEPT = 0.983;
/** Samples after which the sums are solved again; between them the model hardly changes. */
const SOLVE_EVERY = 4;
/** A time further above the prediction than this says that something else was wrong, ms. */
const MOST_SURPRISE_MS = 1_000;

function toRow({ readTokens, pendingTokens, queueMs }: FirstByteInput): Row {
  return [1, readTokens / TOKENS_PER_UNIT, pendingTokens / TOKENS_PER_UNIT, queueMs / MS_PER_UNIT];
}

function toModel([constantMs = 0, read = 0, pending = 0, queue = 0]: readonly number[]) {
  return {
    constantMs: Math.max(0, constantMs),
    msPerReadToken: Math.max(0, read) / TOKENS_PER_UNIT,
    msPerPendingToken: Math.max(0, pending) / TOKENS_PER_UNIT,
    queueShare: Math.max(0, queue) / MS_PER_UNIT,
  };
}

/** Solves a small system of linear equations whose matrix is positive definite. */
function solve(matrix: readonly (readonly number[])[], target: readonly number[]): number[] {
  const rows = matrix.map((row, index) => [...row, target[index] ?? 0]);
  for (let pivot = 0; pivot < INPUTS; pivot += 1) {
    const pivotRow = rows[pivot] ?? [];
    for (let index = pivot + 1; index < INPUTS; index += 1) {
      const row = rows[index] ?? [];
      const factor = (row[pivot] ?? 0) / (pivotRow[pivot] ?? 1);
      for (let column = pivot; column <= INPUTS; column += 1) {
        row[column] = (row[column] ?? 0) - factor * (pivotRow[column] ?? 0);
      }
    }
  }
  const solution = new Array<number>(INPUTS).fill(0);
  for (let index = INPUTS - 1; index >= 0; index -= 1) {
    const row = rows[index] ?? [];
    let rest = row[INPUTS] ?? 0;
    for (let column = index + 1; column < INPUTS; column += 1) {
      rest -= (row[column] ?? 0) * (solution[column] ?? 0);
    }
    solution[index] = rest / (row[index] ?? 1);
  }
  return solution;
}

function newKind(): Kind {
  return {
    products: Array.from({ length: INPUTS }, () => new Array<number>(INPUTS).fill(0)),
    targets: new Array<number>(INPUTS).fill(0),
    model: toModel(PRIOR),
    notedSinceSolved: 0,
  };
}

/** Time to the first byte, ms. */
export function firstByteMs(model: FirstByteModel, input: FirstByteInput): number {
  const { constantMs, msPerReadToken, msPerPendingToken, queueShare } = model;
  return (
    constantMs +
    input.readTokens * msPerReadToken +
    input.pendingTokens * msPerPendingToken +
    input.queueMs * queueShare
  );
}

/**
 * Models that have seen nothing.
 *
 * Answers requests whose first bytes wait for different things: a short one mostly for the step under way, a long one
 * for its own prompt and those before it. One factor for all of it says too little of the idle server and too much of
 * the busy one: where 600 to 800 ms were predicted, 345 was the median, and work left the region for a place that was
 * slower by 186 ms. Least squares over recent requests keep the parts apart. Kinds differ since servers let urgent
 * requests pass others.
 */
export function createFirstByteModels(): FirstByteModels {
  const kinds = new Map<string, Kind>();

  const solveAgain = (kind: Kind): void => {
    const matrix = kind.products.map((row, index) =>
      row.map((sum, column) => sum + (index === column ? (PRIOR_WEIGHT[index] ?? 0) : 0)),
    );
    const target = kind.targets.map(
      (sum, index) => sum + (PRIOR_WEIGHT[index] ?? 0) * (PRIOR[index] ?? 0),
    );
    kind.model = toModel(solve(matrix, target));
    kind.notedSinceSolved = 0;
  };

  return {
    model: (name) => kinds.get(name)?.model ?? toModel(PRIOR),
    note(name, input, actualMs) {
      const kind = kinds.get(name) ?? newKind();
      kinds.set(name, kind);
      const row = toRow(input);
      const sampleMs = Math.min(actualMs, firstByteMs(kind.model, input) + MOST_SURPRISE_MS);
      row.forEach((left, index) => {
        const sums = kind.products[index] ?? [];
        row.forEach((right, column) => {
          sums[column] = (sums[column] ?? 0) * KEPT + left * right;
        });
        kind.targets[index] = (kind.targets[index] ?? 0) * KEPT + left * sampleMs;
      });
      kind.notedSinceSolved += 1;
      if (kind.notedSinceSolved >= SOLVE_EVERY) solveAgain(kind);
    },
  };
}
