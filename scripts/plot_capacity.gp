# Plots the points and fits in the CSV file of gbrcapacity as SVG:
#   gnuplot -e "csv='...'; svg='...'" scripts/plot_capacity.gp
set terminal svg size 1200,1000
set output svg
set datafile separator ","
names = "directory_merge directory_memory routing_rebuild catalog_message \
catalog_decode claim_and_outcome claim_memory frame_seal_and_open reply_json \
reply_binary query_fan_out"
set multiplot layout 4,3
unset key
do for [name in names] {
  set title name noenhanced
  plot csv using (strcol(1) eq name ? $2 : 1/0):3 with points pt 7, \
       csv using (strcol(1) eq name ? $2 : 1/0):($4+$5*$2) with lines
}
unset multiplot
