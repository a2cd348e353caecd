/**
 * Public entry of the library. All functions take their clock, random numbers and I/O as parameters; each export is documented where
 * it is defined.
 */

// A node: homes of jobs, owners of racks and upstreams, sessions and configuration.
export { type AttemptOwners, type AttemptOwnersOptions, createAttemptOwners, type OwnerAnswer } from "./internal.js";
export {
    adoptedSpec,
    type Attempt,
    type Attempts,
    type AttemptSpec,
    createAttempts,
    type OwnedWorker,
    type WorkerState,
    workerStates,
} from "./internal.js";
export { checkDocument, diffDocuments, initialDocument } from "./internal.js";
export { type ConfigurationStore, type ConfigurationStoreOptions, createConfigurationStore } from "./internal.js";
export { createDeputy, type Deputy, type DeputyOptions } from "./internal.js";
export { createEarmarks, type Earmarks, type EarmarksOptions, type Victim, victimsFor } from "./internal.js";
export { createHome, type Home, type HomeOptions, jobKey } from "./internal.js";
export { createHomeRecovery, type HomeRecoveryOptions } from "./internal.js";
export {
    createHomeState,
    type HomeSnapshot,
    type HomeState,
    isCancelled,
    type JobEntry,
    type JobSnapshot,
    showJob,
    showTask,
    type TaskEntry,
    type TaskSnapshot,
} from "./internal.js";
export { createHomes, holderOf, homeKey, type Homes, type HomesOptions, type SharedHomeOptions } from "./internal.js";
export { checkJobSpec, sameSpec } from "./internal.js";
export { createJobs, type JobPage, type Jobs, type JobsOptions } from "./internal.js";
export {
    createJournal,
    type Journal,
    journalKey,
    type JournalOptions,
    replay,
    type ReplayResult,
    type RowClaim,
} from "./internal.js";
export { createLedger, type Ledger, type LedgerWorker } from "./internal.js";
export {
    createMembership,
    type Membership,
    type MembershipOptions,
    sessionIdOf,
    type VersionedUnit,
} from "./internal.js";
export { type CallAllResult, createNode, type Node, type NodePorts } from "./internal.js";
export { defaultNodeSettings, type NodeSettings } from "./internal.js";
export { type OutcomeContext, recordForOutcome } from "./internal.js";
export { createOwnership, type Ownership, type OwnershipOptions, type UnitHandler } from "./internal.js";
export { createPlacer, type Placer, type PlacerOptions, type ReservedTask } from "./internal.js";
export { createQuarantine, type Quarantine, type QuarantineOptions, type QuarantineState } from "./internal.js";
export { createRackOwner, type RackOwner, type RackOwnerOptions } from "./internal.js";
export { createReportOutbox, type ReportOutbox, type ReportOutboxOptions } from "./internal.js";
export { createRequestClaims, type RequestClaim, type RequestClaims, type RequestClaimsOptions } from "./internal.js";
export { createPreemptor, type Preemptor, type PreemptorOptions, urgentPriority } from "./internal.js";
export { createOwnerCapacities, type OwnerCapacities, type OwnerCapacity } from "./internal.js";
export { createRouter, type Route, type Router, type RouterOptions } from "./internal.js";
export { createSession, type Session, type SessionOptions } from "./internal.js";
export {
    createSlots,
    type Slot,
    type Slots,
    type SlotsOptions,
    type UpstreamState,
    upstreamStates,
} from "./internal.js";
export {
    deleteHomeRows,
    type LoadedSnapshot,
    loadSnapshot,
    saveSnapshot,
    type SaveSnapshotOptions,
} from "./internal.js";
export { createTaskQueue, type QueueItem, shapeKey, type TaskQueue } from "./internal.js";
export { correctedSize, remediesFor, type Remedy, type UsedAttempt } from "./internal.js";
export { applyReport, type WorkerReportOptions } from "./internal.js";

// A shard: jobs made of steps, on workers that check fencing tokens; one daemon of a cell owns the shard at a time.
export { type AdviceCallSizer, createAdviceCallSizer } from "./internal.js";
export {
    type AdviceCall,
    type AdviceDispatcher,
    type AdviceDispatcherOptions,
    createAdviceDispatcher,
} from "./internal.js";
export {
    type AdviceRequester,
    type AdviceRequesterOptions,
    createAdviceRequester,
    type TicketRequest,
} from "./internal.js";
export { shouldRequestAhead } from "./internal.js";
export { type CapView, type CapWaits, createCapView } from "./internal.js";
export { type CallerKeys, createCallerKeys, digestKey } from "./internal.js";
export { type CellMember, type CellMemberOptions, memberTable, startCellMember } from "./internal.js";
export { type AvoidanceLimits, avoidedBy, avoidedByAll, awaitedBy, failedRecently } from "./internal.js";
export { type ChoiceLimits, type Chooser, createChooser, type Packing, packings } from "./internal.js";
export { allowsAnotherRun, countRuns, countTasksThatFit, minTasksToStart, ticketFor } from "./internal.js";
export { type ClaimedShard, type ClaimOptions, claimShard } from "./internal.js";
export { readAllRows, type ReadRows, type ReadRowsOptions } from "./internal.js";
export { type AcceptanceOptions, createAcceptance } from "./internal.js";
export {
    type Account,
    type Accounts,
    amountAboveCap,
    createAccounts,
    isOverCap,
    newAccount,
    takeShare,
    tasksUnderCap,
    usesHalfOfCap,
} from "./internal.js";
export {
    type Admission,
    type AdmissionJob,
    type AdmissionOptions,
    type AdmissionReason,
    admissionReasons,
    type AdmissionRefusal,
    createAdmission,
    decideAdmission,
    type OwnerLoad,
    waitAheadMs,
} from "./internal.js";
export { type Backlog, type BacklogOptions, type BacklogTracker, type BacklogWork, createBacklog } from "./internal.js";
export { createLocalRefusals, type LocalRefusals, type LocalRefusalsOptions } from "./internal.js";
export {
    createOwnerShedding,
    decodeShedding,
    isShed,
    type OwnerShedding,
    type OwnerSheddingOptions,
} from "./internal.js";
export { createProcessorShare, type ProcessorShare, type ProcessorTimes } from "./internal.js";
export { retryAfterFor, type RetryCause } from "./internal.js";
export {
    awaitsCrashConfirmation,
    clearCrashesIfSound,
    countCrash,
    countPossibleCrash,
    type CrashedRun,
    crashedRuns,
    isNearCrashLimit,
    needsTrial,
    recordConfirmedRuns,
} from "./internal.js";
export { type CorrelatedCrashes, createCorrelatedCrashes } from "./internal.js";
export { createDelayedStarts, type DelayedStart, type DelayedStarts } from "./internal.js";
export {
    enterIncarnation,
    type FormerIncarnation,
    isSettledByLook,
    leaveIncarnation,
    type NextIncarnation,
    withUndecided,
} from "./internal.js";
export { incarnationKey, incarnationOf, isOtherIncarnation, type WorkerIncarnation } from "./internal.js";
export { createLostRuns, type LostRuns } from "./internal.js";
export {
    allowsTrial,
    crashExposureOf,
    fellSilentAtStart,
    holdForTrial,
    isBlockedByTrial,
    isSuspect,
    startableTasks,
} from "./internal.js";
export { type Batch, type BatchWriter, type BatchWriterOptions, createBatchWriter } from "./internal.js";
export { type CommitLog, type CommitLogOptions, createCommitLog, type RowChange } from "./internal.js";
export { type CommitWait, type CommitWaitOptions, createCommitWait } from "./internal.js";
export { createEndedJobs, type EndedJobs, type EndedJobsOptions, type Outcome } from "./internal.js";
export { type CommitMonitor, type CommitMonitorOptions, createCommitMonitor } from "./internal.js";
export { type ConfigurationFetch, type ConfigurationFetchOptions, createConfigurationFetch } from "./internal.js";
export {
    applyRunEnd,
    cancelJob,
    failJob,
    hasEnded,
    isReady,
    isWaiting,
    newJob,
    newRun,
    openOccurrence,
    pruneDoneOccurrences,
    recordCheckpoint,
    reservedResources,
    type RunPhase,
    runPhases,
    type ShardJob,
    type ShardOccurrence,
    type ShardRun,
    type ShardStep,
    type ShardTask,
    stepNameOf,
} from "./internal.js";
export { decodeEnded, encodeJob, type EndedJob, recordWritten, type RestoredJobs, restoreJobs } from "./internal.js";
export { encodeTaskPages, jobIdOfTaskPage, maxCheckpointBytes, restoreTaskPage } from "./internal.js";
export {
    encodeDetails,
    encodeTask,
    restoreDetails,
    type RestoredLoss,
    type RestoredRuns,
    restoreTask,
    type RestoreTimes,
    type StoredRun,
} from "./internal.js";
export { createFirstLooks, type FirstLooks } from "./internal.js";
export {
    createForwarder,
    type Forwarder,
    type ForwarderOptions,
    type ForwardRequest,
    type Refusal,
} from "./internal.js";
export {
    countDue,
    countHeldTasks,
    createDueOccurrences,
    type DueOccurrences,
    type DueOccurrencesOptions,
    heldTasksOf,
} from "./internal.js";
export { createOccurrenceSet, type OccurrenceRange, type OccurrenceSet } from "./internal.js";
export { createGangWatch, type GangWatch, type GangWatchOptions } from "./internal.js";
export { createStartPace, type StartPace } from "./internal.js";
export { createStartQueue, type StartAnswer, type StartQueue, type StartQueueOptions } from "./internal.js";
export { createPacer, type Pacer } from "./internal.js";
export { createPendingCancels, type PendingCancels, type PendingCancelsOptions } from "./internal.js";
export { createTaskPlacer, type TaskPlacer, type TaskPlacerOptions } from "./internal.js";
export {
    createRunTimes,
    type EndedRunTime,
    type LearnedBias,
    type LearnedSpeed,
    maxBiasEnds,
    maxBiases,
    maxSpeeds,
    type RunTimeEntries,
    runTimeOf,
    type RunTimes,
} from "./internal.js";
export { createRunTimesRow, decodeRunTimes, encodeRunTimes, type RunTimesRow, runTimesSchema } from "./internal.js";
export { createSpeedsReport, type SpeedsReport } from "./internal.js";
export { chooseVictims, isPreemptibleBy } from "./internal.js";
export { type PlanOptions, planReservations } from "./internal.js";
export { type CapacityView, createCapacityView, isPreemptible, type Reservation } from "./internal.js";
export { isBlocked, isBlockedLong, mayUseRestingWorkers } from "./internal.js";
export {
    inSchedulingOrder,
    isPlacedLast,
    isSameRank,
    type RankedStep,
    rankStep,
    type SchedulingOrder,
    type SchedulingOrderOptions,
    schedulingOrders,
    slackMsOf,
    type Standing,
    standings,
    timeLeftOf,
} from "./internal.js";
export { type ShardOwner, type ShardOwnerOptions, startShardOwner } from "./internal.js";
export {
    explainJob,
    type JobExplanation,
    listOrganisations,
    listSpeeds,
    maxListedSteps,
    type OrganisationUse,
    type QueriedState,
    type ShardQueries,
    type SpeedListing,
    type StepExplanation,
    type WaitCounts,
} from "./internal.js";
export { createShardWorkers, type ShardWorkers, type ShardWorkersOptions } from "./internal.js";
export {
    admissionPolicies,
    type AdmissionPolicy,
    defaultShardSettings,
    headroomPolicies,
    type HeadroomPolicy,
    roomPolicies,
    type RoomPolicy,
    runTimesPolicies,
    type RunTimesPolicy,
    type ShardPolicies,
    type ShardSettings,
    sharesPolicies,
    type SharesPolicy,
} from "./internal.js";
export {
    createFairShares,
    dominantShareOf,
    type FairShares,
    type FairSharesOptions,
    isOverShare,
    type ShareHolder,
} from "./internal.js";
export {
    createHeadroom,
    createUrgentArrivals,
    type Headroom,
    type HeadroomInputs,
    type HeadroomOptions,
    type PassHeadroom,
    planHeadroom,
    type UrgentArrivals,
} from "./internal.js";
export { createShortage, hasCapacityFor, type Shortage } from "./internal.js";
export { endedTable, journalTable, ownerKey, ownerTable, runTimesKey, sequenceKey, upkeepTable } from "./internal.js";
export { createTaskReview, type TaskReview, type TaskReviewOptions } from "./internal.js";
export {
    type AvailabilityCounts,
    awaitsStart,
    countAvailabilities,
    type TaskWait,
    taskWaitOf,
    taskWaits,
    waitBoundsMs,
    workerAvailabilities,
    type WorkerAvailability,
    type WorkerSnapshot,
} from "./internal.js";
export { type ClaimReason, claimReasons, countShortTenures, settlingMs, timeoutFactor } from "./internal.js";
export { type TableWatch, type TableWatchOptions, watchTable } from "./internal.js";
export { handOver, type HandOverOptions } from "./internal.js";
export { type ClosedGate, createStartGate, type StartGate, type StartGateOptions } from "./internal.js";
export { createPauseGuard, type PauseGuard, type PauseGuardOptions, startStopwatch } from "./internal.js";
export { createLoadReport, type LoadReport, type LoadReportOptions } from "./internal.js";
export { ownDelayMs } from "./internal.js";
export { createOwnerProgress, type OwnerProgress, type OwnerProgressOptions } from "./internal.js";
export { elapsedSinceMs, type Moment, momentOf } from "./internal.js";
export { type OwnerWatch, type OwnerWatchOptions, watchOwner, type WatchStep, watchSteps } from "./internal.js";
export { type Readiness, type ReadinessOptions, watchReadiness } from "./internal.js";
export {
    chooseAsked,
    createPartitionWatch,
    isCutOff,
    type PartitionSigns,
    type PartitionWatch,
    type PartitionWatchOptions,
} from "./internal.js";
export { createPeers, type Peers, type PeersOptions, type PingOptions } from "./internal.js";
export { endedSchema, stateSchema, submissionSchema } from "./internal.js";
export { decodeKnownOwner, decodeMember, decodeOwner, unreadableOwner } from "./internal.js";
export {
    chooseNeighbours,
    type ClaimCandidate,
    claimOrder,
    delayForRankMs,
    followerPauseMs,
    neighbourOrder,
    neighbourTurns,
} from "./internal.js";
export { createRowReader, type RowReader } from "./internal.js";
export { roomyWorkers } from "./internal.js";
export { createTicketBudget, expectedCpuMillis, type TicketBudget } from "./internal.js";
export { mayGoDown, runsToMove } from "./internal.js";
export { startUpkeep, type Upkeep, type UpkeepOptions } from "./internal.js";
export { createWaveRows, type WaveRows, type WaveRowsOptions } from "./internal.js";
export {
    type UpkeepOrder,
    type UpkeepOutcome,
    upkeepOutcomes,
    type UpkeepWave,
    type VmEntry,
    type VmPort,
    type VmState,
    vmStates,
    type WaveState,
    waveStates,
} from "./internal.js";
export { createRunOrders, type RunOrders, type RunOrdersOptions } from "./internal.js";
export { createEndsWithoutTask, type EndsWithoutTask, type EndsWithoutTaskOptions } from "./internal.js";
export {
    type AbsenceStep,
    absenceSteps,
    type AbsenceTimes,
    endedByMs,
    goneByMs,
    knowledgeOf,
    listedByMs,
    nextAbsenceStep,
    type RunKnowledge,
    runKnowledge,
} from "./internal.js";
export {
    createMissingRuns,
    type DropContext,
    dropContextOf,
    type MissingRuns,
    type MissingRunsOptions,
} from "./internal.js";
export { holdsForOneIncarnation, mayArrive } from "./internal.js";
export { allowsStart, recordStartAnswered, recordStartUnanswered } from "./internal.js";
export { createLookSlots, type LookSlots } from "./internal.js";
export { withAnswers } from "./internal.js";
export { openWorkerLink, type WorkerLink, type WorkerLinkOptions } from "./internal.js";
export { watchWorkerList, type WorkerListOptions } from "./internal.js";
export {
    adoptRun,
    dropRun,
    extendLease,
    freeCapacityOf,
    holdCapacity,
    isOpen,
    newWorker,
    recordAnswer,
    type ShardWorker,
    stillFits,
} from "./internal.js";
export { createWorkerWatch, type WorkerWatch, type WorkerWatchOptions } from "./internal.js";
export {
    type AdviceAnswer,
    type AdviceRequest,
    type AdvisorPort,
    type EndedRun,
    type FencedWorkerPort,
    type HandOverReason,
    type KnownOwner,
    type LookOrder,
    type LookResult,
    type MemberCallName,
    type MemberCalls,
    type MemberHandlers,
    type MemberPort,
    type MemberRow,
    type OrderOutcome,
    orderOutcomes,
    type PingAnswer,
    type PingRequest,
    type Row,
    type RowChanges,
    type RowKey,
    type RowPage,
    type RowStore,
    type RowTransaction,
    type RowTransactResult,
    type RunEnd,
    runEnds,
    type RunningRun,
    type Shedding,
    type StartRunOrder,
    type StopRunOrder,
    type StoreLimits,
    type WorkerTarget,
} from "./internal.js";
export {
    type CellConfiguration,
    type FailureCause,
    failureCauses,
    formatTaskName,
    type JobFailure,
    type JobReference,
    type JobState,
    jobStates,
    type JobStatus,
    type JobSubmission,
    type Organisation,
    parseTaskName,
    type Queue,
    type Schedule,
    type Step,
    type WorkerEntry,
} from "./internal.js";

// Placement and upstream selection handlers.
export {
    type PlacementChoice,
    type PlacementHandler,
    type PlacementInput,
    type PlacementName,
    placementNames,
    placements,
} from "./internal.js";
export {
    type UpstreamCandidate,
    type UpstreamChoiceInput,
    type UpstreamChoiceName,
    upstreamChoiceNames,
    upstreamChoices,
} from "./internal.js";

// Types of the ports, messages and records.
export {
    type ChangeContext,
    type Configuration,
    type ConfigurationDocument,
    type Policy,
    type Quota,
    type WorkloadClass,
} from "./internal.js";
export { type Decision, type DecisionKind, decisionKinds } from "./internal.js";
export {
    type AttemptOutcome,
    attemptOutcomes,
    type AttemptReport,
    isFinal,
    type Job,
    jobIdOf,
    type JobSpec,
    type Task,
    taskIdOf,
    type TaskState,
    taskStates,
    type WorkloadKind,
    workloadKinds,
} from "./internal.js";
export {
    sessionKey,
    type SessionRow,
    type SessionState,
    sessionStates,
    type Unit,
    unitKey,
    type UnitKind,
    unitKinds,
    type UnitRow,
} from "./internal.js";
export {
    type AttemptsRequest,
    type AttemptsResponse,
    type AttemptState,
    attemptStates,
    type CallSession,
    type CapacitySummary,
    type DaemonView,
    type Gossip,
    type GossipReply,
    type HomeAttempt,
    type HomeAttemptsRequest,
    type HomeAttemptsResponse,
    type NodeReport,
    type PeerCallName,
    type PeerCalls,
    type PeerHandler,
    type PeerHandlers,
    type PeerPort,
    type Placement,
    type PlaceRequest,
    type PlaceResponse,
    type ReportRequest,
    type ReportResponse,
    type TaskOffer,
    type UpstreamView,
    type WorkerView,
} from "./internal.js";
export {
    type CancelTimer,
    type Clock,
    type EndedAttempt,
    type Log,
    type LogLevel,
    logLevels,
    type Meter,
    type ObjectStore,
    type Random,
    type RowCondition,
    type RunningAttempt,
    type StartOrder,
    type StartOutcome,
    type StopOrder,
    type TableRow,
    type TableStore,
    type Transaction,
    type TransactResult,
    type UpstreamPort,
    type UpstreamStatus,
    type Vm,
    type VmList,
    type VmListing,
    type VmRole,
    vmRoles,
    type WorkerPoll,
    type WorkerPort,
    type WorkerReport,
} from "./internal.js";
export {
    type AttemptAbandonedRecord,
    type AttemptIntendedRecord,
    type JobAcceptedRecord,
    type JobCancelledRecord,
    type JournalRecord,
    recordKinds,
    type TaskCancelledRecord,
    type TaskEndedRecord,
} from "./internal.js";
export { type AdviceTerms } from "./internal.js";
export { add, fits, largest, noResources, type Resources, scale, subtract } from "./internal.js";

// Errors, validation and utilities.
export { type Bucket, createBucket } from "./internal.js";
export { check, lookUp, nameSchema, oneOf, rejectAll, showValue, textUpTo, wholeNumber } from "./internal.js";
export { type Decoded, decodeRow, decodeText, mapDecoded, noEntry } from "./internal.js";
export {
    die,
    type ErrorKind,
    errorOf,
    type ErrorResponse,
    errorResponses,
    type Failure,
    type FailureDetail,
    failureOf,
    kindOf,
    type Violation,
} from "./internal.js";
export { createGuard, type Guard, type GuardOptions, withGuardedTimers } from "./internal.js";
export { hash, pickMember } from "./internal.js";
export { createRing, type Ring } from "./internal.js";
export { createSeededRandom, createSystemClock, createSystemRandom } from "./internal.js";
export { type Loop, type LoopOptions, sleep, startLoop } from "./internal.js";
export {
    countCall,
    countReceived,
    readTraffic,
    type Traffic,
    type TrafficPurpose,
    trafficPurposes,
} from "./internal.js";
