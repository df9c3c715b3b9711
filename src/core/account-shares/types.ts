/** Outcome of a request, by what it shows about the load of the servers. */
export type DemandOutcome =
  | 'admitted'
  /** No server could have answered within the maximum wait, or the limits of the servers left no room. */
  | 'refusedByServers'
  /** Refused for a reason that says nothing about the load of the servers. */
  | 'refusedOtherwise'
  | 'refusedByShare';

/** Demand of one request of a client account. */
export interface AccountDemand {
  readonly service: string;
  readonly account: string;
  /** Expected work: prompt tokens to compute, plus ten for each output token. */
  readonly cost: number;
  readonly outcome: DemandOutcome;
}

/** Decision about a request of a client account. */
export interface ShareVerdict {
  readonly isAdmitted: boolean;
  /** Share of the account's demand that is admitted at present; 1 if nothing is refused. */
  readonly admittedShare: number;
  /** Maximum wait of an admitted request, as a share of the longest wait with which it meets its objective. */
  readonly maxWaitShare: number;
}

/** Demand of one account over the recent past. */
export interface DemandRate {
  /** Cost of its requests per second. */
  readonly cost: number;
  /** Variance of `cost` if its requests arrive at random. */
  readonly variance: number;
}

/** Demand of the accounts of one service at one instance. Costs are rates per second. */
export interface DemandReport {
  /** ID of the sending instance. */
  readonly from: string;
  /** Start of the sending instance; a later start has a greater number. */
  readonly incarnation: number;
  /** Number of the report since that start. */
  readonly sequence: number;
  readonly service: string;
  /** Demand of the accounts with the largest demand. */
  readonly accounts: readonly (DemandRate & { readonly account: string })[];
  /** Demand of all other accounts together. */
  readonly rest: { readonly count: number; readonly cost: number };
  /** Cost that was admitted. */
  readonly admittedCost: number;
  /** Cost that the servers had no room for. */
  readonly refusedCost: number;
  /** Cost that the sender expects to be able to admit. */
  readonly capacityCost: number;
  /** Time since the servers last had no room for a request of the sender, ms. */
  readonly sinceFullMs: number;
}

/** Decides which accounts get less than they ask for while a service is scarce. */
export interface AccountShares {
  /** Records the demand and the outcome of a request; called once for each request. */
  record(demand: AccountDemand, nowMs: number): void;
  /** Records that the servers had no room after all for a request that was recorded as admitted. */
  recordLateRefusal(demand: Omit<AccountDemand, 'outcome'>, nowMs: number): void;
  /** Returns whether the share of the account admits a request now. */
  admits(
    request: { readonly service: string; readonly account: string },
    nowMs: number,
  ): ShareVerdict;
  /** Applies a report of another instance; returns whether the text is a report. */
  receive(text: string, nowMs: number): boolean;
  /** Sends the demand of scarce services to the other instances of the region if it is due. */
  sendIfDue(nowMs: number): void;
  /** Returns the number of services that are scarce. */
  scarceCount(nowMs: number): number;
  /** Returns the number of accounts that get less than they ask for, added over the services. */
  overShareCount(nowMs: number): number;
}
