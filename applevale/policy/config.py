"""The constants of the decision module: admission, scheduling, attempts, probes and ejections.

Loads are in threads per core. A constant that ends in SECONDS is a duration. Shares, factors and weights have
no unit.
"""

# Memory risks are requests that may exhaust the memory of their engine. A memory risk waits for free memory
# if the quota of the engine covers its cost, which is then deducted; quotas are refilled once per window.
# Requests are checked for memory risks only during one window after the last memory pressure.
# The window is as long as a few of the longest queries.
MEMORY_PRESSURE_WINDOW_SECONDS = 3.0
MEMORY_RISK_THRESHOLD = 0.5  # a request is a memory risk from this probability of memory pressure on
SMALL_MEMORY_SHARE = 0.06  # share of an engine's memory; smaller requests are never a memory risk
SPILL_PRESSURE_SLOWDOWN = 1.5  # slowdown, relative to the usual one, that shows pressure after a spill
MEMORY_PRESSURE_SLOWDOWN = 3.0  # slowdown, relative to the usual one, that shows pressure without a spill
FEATURE_SCALE = 2  # model features are the memory share * this and the relative load / this
INITIAL_MODEL_WEIGHTS = (-2.0, 2.0, 1.0, 1.0, 1.0)  # bias, request's memory, used memory, load, class
LEARNING_RATE = 0.1
MAX_MODEL_WEIGHT = 8.0
MISS_LIFETIME_SECONDS = 60.0  # time for which similar requests are memory risks after unpredicted pressure
MAX_REMEMBERED_MISSES = 400
MEMORY_LOG_BASE = 2  # similar requests have the same integer part of the logarithm of their memory
MISS_DISCOUNT = 0.1  # reduction of the cost for each unpredicted pressure on the engine in this window
MIN_MEMORY_RISK_COST = 0.2

# Estimates of work, memory and run time.
MAX_LEARNED_RATIO = 20.0  # bound of the ratios of needed to announced quantities, and of slowdowns
SLOWDOWN_PRIOR = 1.5  # slowdown in a class without completed runs
SCATTER_PRIOR = 0.3  # mean deviation of the logarithm of run times in a class without completed runs
MAX_EXPECTED_SLOWDOWN = 5.0
SCATTER_DEVIATIONS = 1.5  # mean deviations by which a run time may exceed the expected one by chance
MIN_WORK_SECONDS = 1e-4
MIN_MEAN_WORK_SECONDS = 0.001
TARGET_TO_RUN_TIME_RATIO = 3  # ratio of target latency to mean run time, in a class without completed runs
ANNOUNCED_MEMORY_MARGIN = 1.25  # ratio of granted to announced memory, if engines choose the amount
EXPECTED_MEMORY_MARGIN = 1.5  # ratio of granted to expected memory, in all other cases
MIN_CORES = 0.1  # smallest number of cores of an engine whose kind states none

# Load reports, the loads estimated from them, and limits on the loads of engines.
REPORT_DECAY_SECONDS = 3.0  # time constant of reported loads; as long as a few of the longest queries
REPORT_DECAY_MANY_PEERS_SECONDS = 0.8  # time constant of reported loads, if many peers forward reports
PEER_SEND_DECAY_SECONDS = 0.6  # time constant of sends by peers; about the time until reports include them
OWN_LOAD_DECAY_SECONDS = 10.0  # time constant of the load by this instance, and of threads per query
REPORT_FRESH_SECONDS = 0.4  # an engine needs no probe while its last report is at most this old
FLEET_LOAD_PRIOR_WEIGHT = 0.5  # weight of the assumed load by peers in the fleet's mean load
ENGINE_PRIOR_WEIGHT = 0.3  # weight of the fleet-wide prior in the means of an engine; a report has weight 1
MAX_ASSUMED_PEER_LOAD = 1.0  # largest load by peers that is assumed without reports
REPORT_WEIGHT_EXPONENT = 0.5  # the weight of a report in the fleet's mean is 1 / engines ** exponent
THREADS_PER_QUERY_PRIOR = 1.5
THREADS_PER_QUERY_PRIOR_WEIGHT = 1.0
BUSY_SHARE = 0.85  # share of busy cores or disks that counts as full
SATURATED_LOAD = 10.0  # load added per unit of busy share above BUSY_SHARE, since a share shows no queue
OVERFULL_LOAD = 4.5  # short requests may use engines up to this load; also the load of rejecting engines
THREAD_LIMIT = 1.5  # load at which all cores or disks are busy, and above which total throughput falls
PRIORITY_LOAD_FACTORS = (0.7, 0.85, 1.0, 1.6)  # limits by priority / THREAD_LIMIT, if the fleet is full
PRIORITY_DENSITIES = (0.2, 0.65, 2.0)  # smallest value per work, relative to the mean, of priorities 1 to 3
TOP_PRIORITY = 3
MIN_TABLE_LOAD_PRIORITY = 2  # smallest priority of table loads on engines; a slow one delays all readers
LIMIT_TOLERANCE = 1.01  # an engine that is idle except for rounding errors may take any request

# The limits of low priorities fall while the fleet's load rises from 1/2 to 5/6 of THREAD_LIMIT: they are
# weighted with LIMIT_RAMP_SLOPE * load / THREAD_LIMIT - LIMIT_RAMP_OFFSET, bounded to the range 0 to 1.
LIMIT_RAMP_SLOPE = 3
LIMIT_RAMP_OFFSET = 1.5

# Work that is sent to cold engines.
WARM_UP_MARGIN = 1.05  # ratio of the assumed to the announced warm-up time
COLD_CAPACITY_FACTOR = 0.34  # multiplies the setting `fall_multiple`, which alone admits too much work
COLD_REQUEST_SHARE = 0.4  # largest share of a cold engine's budget of one window that one request may use
COLD_BURST_DIVISOR = 4  # the largest unused budget is the budget of one window divided by this

# Selection of engines, and the wait queue.
AFFINITY_ENGINES = 3  # preferred engines of a table group, over which the instances are spread
AFFINITY_LOAD = 1.0  # the first usable engine is taken up to this load, else the least loaded one
MAX_EXAMINED_ENGINES = 6  # engines examined for one request in one pass
MAX_CACHED_ENGINE_ORDERS = 400
MAX_EXACT_CANDIDATES = 2  # above this number, instances with many peers choose by a random draw
CANDIDATE_RANK_FIELDS = 3  # random draws are among candidates with the best values of the first fields
INSTANCE_HASH_BITS = 48
TABLE_GROUP_SCALE = 16  # table groups with the same integer part of number * 16 share an engine order
MAX_WAITING_REQUESTS = 400
MAX_ROUTED_REQUESTS = 24  # waiting requests for which an engine is sought in one pass
MAX_QUEUE_SLOWDOWN = 1.5  # largest slowdown that is assumed for waiting requests

# Probes and ejection of engines.
PROBES_PER_REQUEST = 1.3  # largest number of probes that each request adds to the budget
MAX_PROBE_BUDGET = 4.0  # largest number of probes that can be accumulated
PROBE_COST_SHARE = 0.0143  # largest share of a request's value that its probes may cost
PROBE_COST_SHARE_NO_REPORTS = 0.035  # largest share where only probes report load
MIN_PROBE_COST = 1e-9  # avoids a division by zero
PROBE_WAIT_SECONDS = 0.06  # a probe that takes longer is a failure of its engine
PROBE_LOST_SECONDS = 1.0  # a probe that takes longer may be sent again
MAX_CONSECUTIVE_RESETS = 3  # an engine is ejected after this number of consecutive resets
EJECTION_SECONDS = 1.0  # duration of the first ejection; each further one takes twice as long
MAX_EJECTION_SECONDS = 8.0
MAX_EJECTED_SHARE = 0.4  # largest share of the ready engines that may be ejected

# Attempts and final answers.
MAX_ENGINE_ERRORS = 2  # a request ends when this number of engines has returned errors
# An attempt is overdue after this multiple of its expected run time, which is corrected for scatter unless
# the engine reports progress.
OVERDUE_FACTOR = 3.0
OVERDUE_GROWTH = 2  # multiplies the overdue time for each earlier attempt of the request
MIN_OVERDUE_TARGET_SHARE = 0.6  # smallest overdue time, as a share of the shortest target latency
ATTEMPT_TIMEOUT_FACTOR = 2  # multiple of the overdue time, where attempts cannot be cancelled
MIN_PROGRESS = 0.001  # smallest share done from which the run time is extrapolated
# A request that waits for its order key counts as late unless at least this multiple of its expected run time
# remains between its start and its deadline, since run times scatter.
TURN_TIME_FACTOR = 4.0
MIN_RETRY_AFTER_SECONDS = 0.3
MAX_RETRY_AFTER_SECONDS = 1.5
FINAL_ANSWER_MARGIN_SECONDS = 0.06  # a final answer is due this long before the client's timeout
MAX_STALL_MARGIN_SHARE = 0.3  # share of a request's timeout that recent stalls may add to that margin
TENANT_BURST_REQUESTS = 1.5  # unused requests that a tenant can accumulate beyond its quota for one second

# Timers and stalls of this instance, and the subscription to the engine list.
SWEEP_INTERVAL_SECONDS = 0.05
SWEEP_TIMER_TOKEN = 0
SUBSCRIBE_TIMER_TOKEN = 1
STALL_TOLERANCE_SECONDS = 0.25  # lateness of a sweep that is not a stall
STALL_DECAY_SECONDS = 10.0
MIN_SUBSCRIBE_DELAY_SECONDS = 1.0
SUBSCRIBE_DELAY_DIVISOR = 2  # the longest delay is the time limit of a call divided by this
MIN_SUBSCRIBE_JITTER = 0.5  # delays are multiplied by the sum of this and a random number below 1
